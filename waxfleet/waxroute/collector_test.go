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

type discardAnswer struct{}

func (discardAnswer) Head(int, string, string) error { return nil }
func (discardAnswer) Body([]byte) error              { return nil }

// TestNothingFollowsTheEndMarker guards against a second answer behind the end
// marker, when the owner is lost between the marker and its report of the end.
func TestNothingFollowsTheEndMarker(t *testing.T) {
	is := is.New(t)
	r := &Router{Parts: Parts{Recorder: waxrecord.NewRecorder(waxfleet.NewClock(), "here", 1)}}
	for part, done := range map[string]bool{"data: [DONE]\n\n": true, "id: 0\ndata: {}\n\n": false} {
		u := &run{Request: &Request{Stream: true}, answer: discardAnswer{}, began: true}
		c := &collector{run: u, router: r}
		is.NoErr(c.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Body{Body: []byte(part)}}))
		out, err := r.conclude(context.Background(), u, c, waxfleet.Instance{}, io.ErrUnexpectedEOF)
		is.NoErr(err)
		is.Equal(out.done, done)
	}
}
