package waxcheck

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxowner"
)

// shortQueueLimits configures short queues, so that a burst fills them.
const shortQueueLimits = `{"load-factor": 1.6, "load-floor": 2, "queue-length": 1}`

var notRunFaults = []Fault{
	EngineRejects, EngineKilled, RouterKilled, PlatformOutage, ShortDeadlines, DomainEvacuated, PeersPartitioned,
}

// chatsAndDeposits sends more chats than the queues hold, then deposits.
func chatsAndDeposits(h *Harness, set []Fault) (*FaultRun, error) {
	run, err := h.RunChats(h.ctx, set, 60, "brief")
	if err != nil {
		return nil, err
	}
	deposits, err := h.RunDeposits(h.ctx, set, 4)
	if err != nil {
		return nil, err
	}
	run.Calls = append(run.Calls, deposits.Calls...)
	return run, nil
}

func checkRunNotRun(h *Harness, run *FaultRun) []string {
	return CheckNotRun(run.Calls, Executions(h.fleet))
}

// TestNotRunIsTrue checks invariant 5: an error response with "not run" is true,
// whichever component on the path it comes from.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	runFaults(t, notRunFaults, 8, shortQueueLimits, chatsAndDeposits, checkRunNotRun)
}

// unsentDispatcher does not report that a request was sent.
type unsentDispatcher struct{ waxfleet.Dispatcher }

// Do implements waxfleet.Dispatcher.
func (d *unsentDispatcher) Do(ctx context.Context, call waxfleet.Call, sink waxfleet.CallSink) (waxfleet.CallResult, error) {
	res, err := d.Dispatcher.Do(ctx, call, sink)
	if err != nil && res.Sent {
		res.Sent, res.ServerDied = false, false
		err = waxfleet.WrapError(err, waxfleet.CodeNoBackendServer, "no connection")
	}
	return res, err
}

// TestNotRunSwitches expects violations of invariant 5 when the dispatcher does
// not report that a request was sent. Seed 11 gave 12 under
// service-dies-in-call+cut-results, the first a deposit that ran on desk-1 while
// both calls for it got "not run".
func TestNotRunSwitches(t *testing.T) {
	t.Parallel()
	expectViolations(t, disabledMechanism{
		name: "sent-untold", disable: func(d *waxowner.Dependencies) { d.Dispatcher = &unsentDispatcher{d.Dispatcher} },
	}, 8, func(h *Harness) (*FaultRun, error) {
		return h.RunDeposits(h.ctx, []Fault{ServiceCrashes, TruncatedResults}, 10)
	}, checkRunNotRun)
}

// TestCheckNotRunRejects checks that the checker rejects an execution whose only
// caller got "not run", and "not run" with a code that does not allow it.
func TestCheckNotRunRejects(t *testing.T) {
	is := is.New(t)
	notRun := &APIError{Code: waxfleet.CodeOverloaded, Name: "overloaded", NotRun: true}
	unknown := &APIError{Code: waxfleet.CodeOutcomeUnknown, Name: "outcome-unknown"}
	executions := []Execution{{Server: "engine-01", Digest: "a", At: 15}}
	call := func(start waxfleet.Millis, e *APIError) *Call {
		return &Call{
			Digest: "a",
			Start:  start,
			End:    start + 10,
			Status: 503,
			Error:  e,
		}
	}
	is.Equal(len(CheckNotRun([]*Call{call(10, notRun)}, executions)), 1)
	is.Equal(len(CheckNotRun([]*Call{call(10, notRun), call(20, unknown)}, executions)), 1) // the other call started later
	is.Equal(len(CheckNotRun([]*Call{call(10, notRun), call(12, unknown)}, executions)), 0)
	is.Equal(len(CheckNotRun([]*Call{call(10, notRun)}, nil)), 0)
	invalid := &APIError{Code: waxfleet.CodeOutcomeUnknown, Name: "outcome-unknown", NotRun: true}
	is.Equal(len(CheckNotRun([]*Call{call(10, invalid)}, nil)), 1)
}
