package waxroute

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxrecord"
	"waxwingdrift.org/waxfleet/waxwire"
)

type discardResponse struct{}

func (discardResponse) Head(int, string, string) error { return nil }
func (discardResponse) Body([]byte) error              { return nil }

// TestNothingFollowsTheEndMarker guards against a second response after the end marker
// of a stream. It would be sent if the connection to the owner failed after the marker
// but before the owner's End reply.
func TestNothingFollowsTheEndMarker(t *testing.T) {
	is := is.New(t)
	r := &Router{Dependencies: Dependencies{Recorder: waxrecord.NewRecorder(waxfleet.NewClock(), "here", 1)}}
	for part, done := range map[string]bool{"data: [DONE]\n\n": true, "id: 0\ndata: {}\n\n": false} {
		rs := &requestState{Request: &Request{Stream: true}, response: discardResponse{}, headSent: true}
		forwarder := &replyForwarder{state: rs, router: r}
		is.NoErr(forwarder.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Body{Body: []byte(part)}}))
		out, err := r.attemptOutcome(context.Background(), rs, forwarder, waxfleet.Instance{}, io.ErrUnexpectedEOF)
		is.NoErr(err)
		is.Equal(out.done, done)
	}
}
