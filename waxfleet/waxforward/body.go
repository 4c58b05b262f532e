package waxforward

import (
	"net/http"

	"waxwingdrift.org/waxfleet"
)

// defaultMaxBodyBytes is the maximum size of a body if the configuration names none.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the complete body, so that the request can be retried and a disconnect
// of the caller is detected while it runs.
func (f *Forwarder) readBody(req *requestState, r *http.Request) error {
	req.hasBody = r.ContentLength != 0
	if !req.hasBody {
		return nil
	}
	limit := req.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := req.intake.ReadBody(r.Body, r.ContentLength, limit, req.deadline)
	if err != nil && waxfleet.CodeOf(err) == waxfleet.CodeInternal {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "request body ended early")
	}
	req.body = body
	return err
}

// refusedByIntake reports whether the code refuses a request whose caller may still be
// connected, though its body was not read to the end.
func refusedByIntake(code waxfleet.Code) bool {
	switch code {
	case waxfleet.CodeRouterFull, waxfleet.CodeRequestTimeout, waxfleet.CodeBodyTooLarge:
		return true
	}
	return false
}

// closeAfterRefusal makes the error response close the connection, unless the next request
// can follow on it.
func (req *requestState) closeAfterRefusal() {
	if req.deadline == 0 {
		req.intake.AnswerBy(req.arrivedAt + defaultTimeout)
	}
	if !req.intake.KeepAfterRefusal(req.bodyLength) {
		req.response.w.Header().Set("Connection", "close")
	}
}
