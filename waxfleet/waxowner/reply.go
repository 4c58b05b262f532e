package waxowner

import (
	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// forwardSink sends the parts of a response as they arrive.
type forwardSink struct {
	replies ReplyStream
	server  string
}

// Head implements waxfleet.CallSink.
func (s *forwardSink) Head(status int, contentType string) error {
	return s.replies.Send(newHeadReply(status, contentType, s.server))
}

// Body implements waxfleet.CallSink.
func (s *forwardSink) Body(part []byte, _ int64) error {
	return s.replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Body{Body: part}})
}

// bufferSink buffers a complete response, so that it can be stored before it is sent.
type bufferSink struct {
	status      int
	contentType string
	body        []byte
}

// Head implements waxfleet.CallSink.
func (s *bufferSink) Head(status int, contentType string) error {
	s.status, s.contentType = status, contentType
	return nil
}

// Body implements waxfleet.CallSink.
func (s *bufferSink) Body(part []byte, _ int64) error {
	s.body = append(s.body, part...)
	return nil
}

func newHeadReply(status int, contentType, server string) *waxwire.ServeReply {
	return &waxwire.ServeReply{Part: &waxwire.ServeReply_Head{Head: &waxwire.Head{
		Status: int32(status), ContentType: contentType, BackendServer: server,
	}}}
}

func sendResult(replies ReplyStream, claim waxfleet.Claim, server string) error {
	status, contentType, body := claim.Result()
	if err := replies.Send(newHeadReply(status, contentType, server)); err != nil {
		return err
	}
	if err := replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Body{Body: body}}); err != nil {
		return err
	}
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_End{End: &waxwire.End{}}})
}

func redirect(replies ReplyStream, server, reason string) error {
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Redirect{Redirect: &waxwire.Redirect{
		BackendServer: server, Reason: reason,
	}}})
}

func refuse(replies ReplyStream, e *waxfleet.Error, retryable bool, server string) error {
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Refusal{Refusal: &waxwire.Refusal{
		Code: int32(e.Code()), Message: e.Message(), NotRun: e.NotRun(), Retryable: retryable, BackendServer: server,
	}}})
}

func refuseErr(replies ReplyStream, err error, server string) error {
	return refuse(replies, toError(err), false, server)
}

func toError(err error) *waxfleet.Error {
	var e *waxfleet.Error
	if errors.As(err, &e) {
		return e
	}
	return waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
}
