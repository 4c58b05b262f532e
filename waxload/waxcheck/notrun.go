package waxcheck

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Execution is an execution of a request on a backend server, from its history.
type Execution struct {
	Server string
	// Digest is the prompt digest or body digest, as in Call.
	Digest string
	// ID is the request ID that the server received.
	ID string
	At waxfleet.Millis
}

// Executions returns all executions on the engines and on the servers of the plain
// service.
func Executions(f *waxembed.Fleet) []Execution {
	var executions []Execution
	for _, e := range f.Engines() {
		for _, ev := range e.History() {
			if ev.Kind == waxengine.EventStart {
				executions = append(executions, Execution{
					Server: e.ID(),
					Digest: ev.PromptDigest,
					ID:     ev.RequestID,
					At:     ev.At,
				})
			}
		}
	}
	for _, s := range f.PlainServers() {
		for _, ev := range s.History() {
			if ev.Kind == waxservice.EventStart {
				executions = append(executions, Execution{
					Server: s.ID(),
					Digest: ev.BodyDigest,
					ID:     ev.RequestID,
					At:     ev.At,
				})
			}
		}
	}
	return executions
}

// CheckNotRun returns the executions that contradict the responses "not run", and
// the invalid error responses. An execution belongs to one of the calls with the
// same digest that started before it. If all of these calls got "not run", one of
// the responses is false. A call that timed out did not get "not run".
func CheckNotRun(calls []*Call, executions []Execution) []string {
	byDigest := map[string][]*Call{}
	for _, c := range calls {
		byDigest[c.Digest] = append(byDigest[c.Digest], c)
	}
	var violations []string
	for _, e := range executions {
		notRun, other := 0, 0
		for _, c := range byDigest[e.Digest] {
			switch {
			case c.Start > e.At:
			case c.NotRun():
				notRun++
			default:
				other++
			}
		}
		if notRun > 0 && other == 0 {
			violations = append(violations, fmt.Sprintf("%s ran on %s at %d ms, but all %d calls for it got not run; first %s",
				e.Digest, e.Server, e.At, notRun, describeCall(byDigest[e.Digest][0])))
		}
	}
	for _, c := range calls {
		if violation := errorViolation(c.Error); violation != "" {
			violations = append(violations, describeCall(c)+": "+violation)
		}
	}
	return violations
}
