package waxcheck

import (
	"fmt"
	"net/http"
	"strings"

	"waxwingdrift.org/waxstandin/waxengine"
)

// CheckAnswers returns what is wrong with the answers to chats. A caller with
// status 200 and the end has exactly the answer to its own body; all others have
// a numbered error or a broken connection, and no part of another answer.
func CheckAnswers(calls []*Call) []string {
	var wrong []string
	for _, c := range calls {
		if why := answerFault(c); why != "" {
			wrong = append(wrong, describe(c)+": "+why)
		}
	}
	return wrong
}

func answerFault(c *Call) string {
	tokens, err := waxengine.Answer(c.Body)
	if err != nil {
		return err.Error()
	}
	want := strings.Join(tokens, " ")
	switch {
	case c.Wrong != "":
		return c.Wrong
	case c.Hung:
		return "neither an answer nor an error came"
	case c.After > 0:
		return fmt.Sprintf("%d events follow the end marker", c.After)
	case !strings.HasPrefix(want, c.Text):
		return fmt.Sprintf("the text %q is no part of %q", c.Text, want)
	case c.Whole() && c.Text != want:
		return fmt.Sprintf("the end came after %d of %d tokens", len(strings.Fields(c.Text)), len(tokens))
	case c.Status == http.StatusOK && !c.Done && c.Problem == nil && !c.Cut:
		return "the answer ends without an end marker, an error or a broken connection"
	case c.Status != http.StatusOK && c.Problem == nil && !c.Cut:
		return fmt.Sprintf("status %d without a numbered error", c.Status)
	}
	return problemFault(c.Problem)
}

// problemFault checks that a numbered error has a code of the table under its
// name, and doesn't say "not run" where the code can't.
func problemFault(p *Problem) string {
	switch {
	case p == nil:
		return ""
	case p.Code.Name() != p.Name:
		return fmt.Sprintf("code %d has the name %q", p.Code, p.Name)
	case p.NotRun && !p.Code.NotRun():
		return p.Name + " says not run"
	}
	return ""
}

// Tally counts the ends of calls.
type Tally struct {
	Calls    int
	Whole    int
	Problems map[string]int
	Cut      int
}

// Count returns the ends of the calls.
func Count(calls []*Call) Tally {
	t := Tally{Calls: len(calls), Problems: map[string]int{}}
	for _, c := range calls {
		switch {
		case c.Whole():
			t.Whole++
		case c.Problem != nil:
			t.Problems[fmt.Sprintf("%s not-run=%t", c.Problem.Name, c.Problem.NotRun)]++
		default:
			t.Cut++
		}
	}
	return t
}

// String implements fmt.Stringer.
func (t Tally) String() string {
	return fmt.Sprintf("%d calls, %d whole, %d cut, errors %v", t.Calls, t.Whole, t.Cut, t.Problems)
}

func describe(c *Call) string {
	end := "cut"
	switch {
	case c.Whole():
		end = "whole"
	case c.Problem != nil:
		end = fmt.Sprintf("%s not-run=%t", c.Problem.Name, c.Problem.NotRun)
	case c.Hung:
		end = "hung"
	}
	return fmt.Sprintf("call of %s at %s, %d-%d ms, status %d, %s", c.Work, c.Router, c.Start, c.End, c.Status, end)
}
