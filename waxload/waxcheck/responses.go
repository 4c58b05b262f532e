package waxcheck

import (
	"fmt"
	"net/http"
	"strings"

	"waxwingdrift.org/waxstandin/waxengine"
)

// CheckResponses returns the violations in the responses to chats. A complete
// response with status 200 must be exactly the expected one for the caller's own
// request. Every other call must end with an error code or a broken connection, and
// its text must be a prefix of the expected one.
func CheckResponses(calls []*Call) []string {
	var violations []string
	for _, c := range calls {
		if violation := responseViolation(c); violation != "" {
			violations = append(violations, describeCall(c)+": "+violation)
		}
	}
	return violations
}

func responseViolation(c *Call) string {
	tokens, err := waxengine.ExpectedTokens(c.Body)
	if err != nil {
		return err.Error()
	}
	want := strings.Join(tokens, " ")
	switch {
	case c.ProtocolError != "":
		return c.ProtocolError
	case c.TimedOut:
		return "neither a response nor an error arrived"
	case c.EventsAfterEnd > 0:
		return fmt.Sprintf("%d events follow the end marker", c.EventsAfterEnd)
	case !strings.HasPrefix(want, c.Text):
		return fmt.Sprintf("the text %q is not a prefix of %q", c.Text, want)
	case c.Complete() && c.Text != want:
		return fmt.Sprintf("the response ended after %d of %d tokens", len(strings.Fields(c.Text)), len(tokens))
	case c.Status == http.StatusOK && !c.Done && c.Error == nil && !c.Disconnected:
		return "the response ends without an end marker, an error or a broken connection"
	case c.Status != http.StatusOK && c.Error == nil && !c.Disconnected:
		return fmt.Sprintf("status %d without an error code", c.Status)
	}
	return errorViolation(c.Error)
}

// errorViolation returns what is wrong with an error response: a name that does not
// match the code, or "not run" with a code that does not allow it. It returns "" if
// nothing is.
func errorViolation(e *APIError) string {
	switch {
	case e == nil:
		return ""
	case e.Code.Name() != e.Name:
		return fmt.Sprintf("code %d has the name %q", e.Code, e.Name)
	case e.NotRun && !e.Code.NotRun():
		return e.Name + " must not say not run"
	}
	return ""
}

// Outcomes counts calls by outcome.
type Outcomes struct {
	Calls    int
	Complete int
	// Errors counts error responses by name and the value of not-run.
	Errors map[string]int
	// Disconnected counts the calls with neither a complete response nor an error.
	Disconnected int
}

// CountOutcomes counts the calls by outcome.
func CountOutcomes(calls []*Call) Outcomes {
	o := Outcomes{Calls: len(calls), Errors: map[string]int{}}
	for _, c := range calls {
		switch {
		case c.Complete():
			o.Complete++
		case c.Error != nil:
			o.Errors[fmt.Sprintf("%s not-run=%t", c.Error.Name, c.Error.NotRun)]++
		default:
			o.Disconnected++
		}
	}
	return o
}

// String implements fmt.Stringer.
func (o Outcomes) String() string {
	return fmt.Sprintf("%d calls, %d complete, %d disconnected, errors %v", o.Calls, o.Complete, o.Disconnected, o.Errors)
}

func describeCall(c *Call) string {
	outcome := "disconnected"
	switch {
	case c.Complete():
		outcome = "complete"
	case c.Error != nil:
		outcome = fmt.Sprintf("%s not-run=%t", c.Error.Name, c.Error.NotRun)
	case c.TimedOut:
		outcome = "timed out"
	}
	return fmt.Sprintf("call of %s at %s, %d-%d ms, status %d, %s", c.Digest, c.Router, c.Start, c.End, c.Status, outcome)
}
