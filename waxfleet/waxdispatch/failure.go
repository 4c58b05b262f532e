package waxdispatch

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
)

// failureKind is the way in which one exchange with a backend server failed.
type failureKind int

const (
	// failNotConnected: no connection could be opened.
	failNotConnected failureKind = iota + 1
	// failConnectionLost: the connection closed before the response was complete.
	failConnectionLost
	// failStalled: the connection delivered no byte while the server responded to a
	// probe.
	failStalled
	// failDead: the server did not respond to a probe.
	failDead
	// failMismatch: the response belongs to another request.
	failMismatch
	// failInvalidStream: the stream is invalid or has a gap.
	failInvalidStream
	// failStreamNotFound: the server no longer has the stream.
	failStreamNotFound
	// failOverloaded: the engine rejected the request with 429 or 503.
	failOverloaded
	// failBadResponse: the server sent an error or an unusable response.
	failBadResponse
	// failCallerWrite: the response could not be written to the caller.
	failCallerWrite
	// failInvalidRequest: the call is not a valid HTTP request.
	failInvalidRequest
)

var failureMessages = map[failureKind]string{
	failNotConnected:   "no connection to the backend server",
	failConnectionLost: "the connection closed before the response was complete",
	failStalled:        "the connection stalled",
	failDead:           "the backend server stopped responding",
	failMismatch:       "the response belongs to another request",
	failInvalidStream:  "the stream is invalid or has a gap",
	failStreamNotFound: "the backend server no longer has the stream",
	failOverloaded:     "the backend server rejected the request as overloaded",
	failBadResponse:    "the backend server responded with an error",
	failCallerWrite:    "the caller disconnected",
	failInvalidRequest: "the call is not a valid HTTP request",
}

// failureCodes holds the error code of a call that ends with a failure.
var failureCodes = map[failureKind]waxfleet.Code{
	failNotConnected:   waxfleet.CodeBackendDied,
	failConnectionLost: waxfleet.CodeStreamIncomplete,
	failStalled:        waxfleet.CodeStreamIncomplete,
	failDead:           waxfleet.CodeBackendDied,
	failMismatch:       waxfleet.CodeAnswerMismatch,
	failInvalidStream:  waxfleet.CodeStreamIncomplete,
	failStreamNotFound: waxfleet.CodeStreamIncomplete,
	failOverloaded:     waxfleet.CodeStreamIncomplete,
	failBadResponse:    waxfleet.CodeBackendError,
	failCallerWrite:    waxfleet.CodeCancelled,
	failInvalidRequest: waxfleet.CodeMalformedBody,
}

// failure is the error of an exchange that ended without a complete response.
type failure struct {
	kind  failureKind
	cause error
}

func (f *failure) Error() string {
	if f.cause == nil {
		return failureMessages[f.kind]
	}
	return fmt.Sprintf("%s: %v", failureMessages[f.kind], f.cause)
}

func (f *failure) Unwrap() error { return f.cause }
