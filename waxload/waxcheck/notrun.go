package waxcheck

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Run is the start of a run at a backend server, from its own history.
type Run struct {
	Server string
	Work   string
	ID     string
	At     waxfleet.Millis
}

// Runs returns the starts of all runs at the engines and plain servers.
func Runs(f *waxembed.Fleet) []Run {
	var runs []Run
	for _, e := range f.Engines() {
		for _, ev := range e.History() {
			if ev.Kind == waxengine.EventStart {
				runs = append(runs, Run{Server: e.ID(), Work: ev.PromptDigest, ID: ev.RequestID, At: ev.At})
			}
		}
	}
	for _, s := range f.Services() {
		for _, ev := range s.History() {
			if ev.Kind == waxservice.EventStart {
				runs = append(runs, Run{Server: s.ID(), Work: ev.BodyDigest, ID: ev.RequestID, At: ev.At})
			}
		}
	}
	return runs
}

// CheckNotRun returns the runs that no call admits to. A run belongs to a call
// for the same work that began before it; if all these were told "not run", one
// of them was told something untrue. A call that hung was told nothing.
func CheckNotRun(calls []*Call, runs []Run) []string {
	byWork := map[string][]*Call{}
	for _, c := range calls {
		byWork[c.Work] = append(byWork[c.Work], c)
	}
	var wrong []string
	for _, r := range runs {
		denied, admitted := 0, 0
		for _, c := range byWork[r.Work] {
			switch {
			case c.Start > r.At:
			case c.NotRun():
				denied++
			default:
				admitted++
			}
		}
		if denied > 0 && admitted == 0 {
			wrong = append(wrong, fmt.Sprintf("%s at %s, %d ms: %d calls for it said not run and none another thing; first %s",
				r.Work, r.Server, r.At, denied, describe(byWork[r.Work][0])))
		}
	}
	for _, c := range calls {
		if why := problemFault(c.Problem); why != "" {
			wrong = append(wrong, describe(c)+": "+why)
		}
	}
	return wrong
}
