package waxdispatch

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
)

// failureKind tells how one exchange with a backend server failed.
type failureKind int

const (
	// failNotConnected: no connection could be opened.
	failNotConnected failureKind = iota + 1
	// failCut: the connection ended before the answer did.
	failCut
	// failSilent: the connection gave no byte while a probe was answered.
	failSilent
	// failDead: the server did not answer a probe.
	failDead
	// failMismatch: the answer belongs to another request.
	failMismatch
	// failDisorder: the stream has a gap or is malformed.
	failDisorder
	// failGone: the server no longer has the stream.
	failGone
	// failBusy: the engine refused the work before its first byte.
	failBusy
	// failRefused: the server answered with an error or an unusable answer.
	failRefused
	// failSink: the caller does not take the answer.
	failSink
	// failRequest: the call is not a valid HTTP request.
	failRequest
)

var failureNames = map[failureKind]string{
	failNotConnected: "no connection to the backend server",
	failCut:          "the connection ended before the answer",
	failSilent:       "the connection went silent",
	failDead:         "the backend server stopped answering",
	failMismatch:     "the answer belongs to another request",
	failDisorder:     "the stream has a gap or is malformed",
	failGone:         "the backend server no longer has the stream",
	failBusy:         "the backend server refused the work",
	failRefused:      "the backend server answered with an error",
	failSink:         "the caller went away",
	failRequest:      "the call is not a valid HTTP request",
}

// finalCodes holds the result code of a call that ends with a failure.
var finalCodes = map[failureKind]waxfleet.Code{
	failNotConnected: waxfleet.CodeBackendDied,
	failCut:          waxfleet.CodeStreamIncomplete,
	failSilent:       waxfleet.CodeStreamIncomplete,
	failDead:         waxfleet.CodeBackendDied,
	failMismatch:     waxfleet.CodeAnswerMismatch,
	failDisorder:     waxfleet.CodeStreamIncomplete,
	failGone:         waxfleet.CodeStreamIncomplete,
	failBusy:         waxfleet.CodeStreamIncomplete,
	failRefused:      waxfleet.CodeBackendError,
	failSink:         waxfleet.CodeCancelled,
	failRequest:      waxfleet.CodeMalformedBody,
}

// failure is the end of one exchange that brought no whole answer.
type failure struct {
	kind  failureKind
	cause error
}

func (f *failure) Error() string {
	if f.cause == nil {
		return failureNames[f.kind]
	}
	return fmt.Sprintf("%s: %v", failureNames[f.kind], f.cause)
}

func (f *failure) Unwrap() error { return f.cause }
