package waxcheck

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxowner"
)

// tightLimits make queues short, so that a burst fills them.
const tightLimits = `{"load-factor": 1.6, "load-floor": 2, "queue-length": 1}`

var notRunFaults = []Fault{
	EngineRefuses, EngineKilled, RouterKilled, PlatformOutage, ShortDeadlines, DomainOut, PeersCut,
}

// chatsAndDeposits sends more chats than the queues take, and deposits.
func chatsAndDeposits(w *World, set []Fault) (*Phase, error) {
	p, err := w.Chats(w.ctx, set, 60, "brief")
	if err != nil {
		return nil, err
	}
	deposits, err := w.Deposits(w.ctx, set, 4)
	if err != nil {
		return nil, err
	}
	p.Calls = append(p.Calls, deposits.Calls...)
	return p, nil
}

func checkPhaseNotRun(w *World, p *Phase) []string { return CheckNotRun(p.Calls, Runs(w.fleet)) }

// TestNotRunIsTrue guards invariant 5: a refusal that says "not run" is true,
// wherever on the path it comes from.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	prove(t, notRunFaults, 8, tightLimits, chatsAndDeposits, checkPhaseNotRun)
}

// forgetfulDispatcher doesn't tell that a request was sent.
type forgetfulDispatcher struct{ waxfleet.Dispatcher }

// Do implements waxfleet.Dispatcher.
func (d *forgetfulDispatcher) Do(ctx context.Context, call waxfleet.Call, sink waxfleet.CallSink) (waxfleet.CallResult, error) {
	res, err := d.Dispatcher.Do(ctx, call, sink)
	if err != nil && res.Sent {
		res.Sent, res.ServerDied = false, false
		err = waxfleet.WrapError(err, waxfleet.CodeNoBackendServer, "no connection")
	}
	return res, err
}

// TestNotRunSwitches shows that the run of TestNotRunIsTrue fails when the
// dispatcher does not tell that a request was sent. Seen with seed 11: 12 wrong
// under service-dies-in-call+cut-results, "bdbc49233a3da9432b7b4f7b345e4f3b at
// desk-1: 2 calls for it said not run and none another thing".
func TestNotRunSwitches(t *testing.T) {
	t.Parallel()
	demand(t, faultSwitch{
		name: "sent-untold", off: func(p *waxowner.Dependencies) { p.Dispatcher = &forgetfulDispatcher{p.Dispatcher} },
	}, 8, func(w *World) (*Phase, error) {
		return w.Deposits(w.ctx, []Fault{ServiceDies, CutResults}, 10)
	}, checkPhaseNotRun)
}

// TestCheckNotRunRejects guards the checker against passing a run that its only
// caller was told did not happen.
func TestCheckNotRunRejects(t *testing.T) {
	is := is.New(t)
	denied := &Problem{Code: waxfleet.CodeOverloaded, Name: "overloaded", NotRun: true}
	unknown := &Problem{Code: waxfleet.CodeOutcomeUnknown, Name: "outcome-unknown"}
	runs := []Run{{Server: "engine-01", Work: "a", At: 15}}
	call := func(start waxfleet.Millis, p *Problem) *Call {
		return &Call{Work: "a", Start: start, End: start + 10, Status: 503, Problem: p}
	}
	is.Equal(len(CheckNotRun([]*Call{call(10, denied)}, runs)), 1)
	is.Equal(len(CheckNotRun([]*Call{call(10, denied), call(20, unknown)}, runs)), 1) // the other began later
	is.Equal(len(CheckNotRun([]*Call{call(10, denied), call(12, unknown)}, runs)), 0)
	is.Equal(len(CheckNotRun([]*Call{call(10, denied)}, nil)), 0)
	lie := &Problem{Code: waxfleet.CodeOutcomeUnknown, Name: "outcome-unknown", NotRun: true}
	is.Equal(len(CheckNotRun([]*Call{call(10, lie)}, nil)), 1)
}
