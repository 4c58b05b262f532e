package waxcheck

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxowner"
)

var onceFaults = []Fault{
	PlatformOutage, PlatformSlow, LostWriteResponses, RouterKilledAfterClaim, RouterKilledAfterDispatch, RouterKilledBeforeResult,
	ServiceCrashes, TruncatedResults, LateResults,
}

func checkRunOnce(h *Harness, run *FaultRun) []string {
	return CheckOnce(run.Calls, Executions(h.fleet))
}

// TestAtMostOnce checks invariant 6: a deposit runs at most once, whatever fails
// between its claim and its result, and however often its caller retries.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	runFaults(t, onceFaults, 4, "", func(h *Harness, set []Fault) (*FaultRun, error) {
		return h.RunDeposits(h.ctx, set, 10)
	}, checkRunOnce)
}

// grantAllClaims is a claim store that grants a claim to every attempt.
type grantAllClaims struct{}

// Begin implements waxfleet.ClaimStore.
func (grantAllClaims) Begin(context.Context, string, string, string) (waxfleet.Claim, error) {
	return waxfleet.NewHeldClaim("", ""), nil
}

// Finish implements waxfleet.ClaimStore.
func (grantAllClaims) Finish(context.Context, waxfleet.Claim, int, string, []byte) error { return nil }

// Release implements waxfleet.ClaimStore.
func (grantAllClaims) Release(context.Context, waxfleet.Claim) error { return nil }

// Abandon implements waxfleet.ClaimStore.
func (grantAllClaims) Abandon(context.Context, waxfleet.Claim) error { return nil }

// lateReleaseDispatcher does not report failed requests as sent, so that their
// claims are released although they may have run.
type lateReleaseDispatcher struct {
	waxfleet.Dispatcher
}

// Do implements waxfleet.Dispatcher.
func (d lateReleaseDispatcher) Do(ctx context.Context, call waxfleet.Call, sink waxfleet.CallSink) (waxfleet.CallResult, error) {
	res, err := d.Dispatcher.Do(ctx, call, sink)
	res.Sent = res.Sent && err == nil
	return res, err
}

// retryDispatcher retries a call whose response was lost, as if it were
// repeatable.
type retryDispatcher struct{ waxfleet.Dispatcher }

// Do implements waxfleet.Dispatcher.
func (d retryDispatcher) Do(ctx context.Context, call waxfleet.Call, sink waxfleet.CallSink) (waxfleet.CallResult, error) {
	call.AtMostOnce = false
	return d.Dispatcher.Do(ctx, call, sink)
}

// TestAtMostOnceSwitches expects violations of invariant 6 when a mechanism of
// section 11 is disabled. Seed 11 gave:
//   - claims-off: 11 under platform-slow; a deposit ran 3 times.
//   - release-after-dispatch: 4 under cut-results; a deposit ran 2 times.
//   - dispatch-repeated: 4 under cut-results; a deposit ran 2 times.
func TestAtMostOnceSwitches(t *testing.T) {
	t.Parallel()
	for _, m := range []disabledMechanism{
		{"claims-off", func(d *waxowner.Dependencies) { d.Claims = grantAllClaims{} }, []Fault{PlatformSlow}},
		{"release-after-dispatch", func(d *waxowner.Dependencies) { d.Dispatcher = lateReleaseDispatcher{d.Dispatcher} }, []Fault{TruncatedResults}},
		{"dispatch-repeated", func(d *waxowner.Dependencies) { d.Dispatcher = retryDispatcher{d.Dispatcher} }, []Fault{TruncatedResults}},
	} {
		expectViolations(t, m, 4, func(h *Harness) (*FaultRun, error) { return h.RunDeposits(h.ctx, m.faults, 10) }, checkRunOnce)
	}
}

// TestCheckOnceRejects checks that the checker rejects a second execution, a result
// of another execution or body, and an execution whose callers all got "not run".
func TestCheckOnceRejects(t *testing.T) {
	is := is.New(t)
	result := func(start waxfleet.Millis, run, digest string) *Call {
		return &Call{
			Digest:    "a",
			Start:     start,
			End:       start + 10,
			Status:    200,
			Done:      true,
			RequestID: run,
			Text:      digest,
		}
	}
	run := func(at waxfleet.Millis, id string) Execution {
		return Execution{Server: "desk-1", Digest: "a", ID: id, At: at}
	}
	is.Equal(len(CheckOnce([]*Call{result(1, "r1", "a"), result(20, "r1", "a")}, []Execution{run(5, "r1")})), 0)
	for name, bad := range map[string]struct {
		calls      []*Call
		executions []Execution
	}{
		"two runs":            {[]*Call{result(1, "r1", "a")}, []Execution{run(5, "r1"), run(6, "r2")}},
		"another run":         {[]*Call{result(1, "r2", "a")}, []Execution{run(5, "r1")}},
		"no run":              {[]*Call{result(1, "r1", "a")}, nil},
		"another body":        {[]*Call{result(1, "r1", "b")}, []Execution{run(5, "r1")}},
		"result before a run": {[]*Call{result(1, "r1", "a"), {Digest: "a", Start: 0, End: 50}}, []Execution{run(40, "r1")}},
		"denied": {[]*Call{{
			Digest: "a",
			Start:  1,
			End:    9,
			Error:  &APIError{Code: 2006, Name: "claims-unavailable", NotRun: true},
		}}, []Execution{run(5, "r1")}},
	} {
		if len(CheckOnce(bad.calls, bad.executions)) == 0 {
			t.Errorf("the history %q is accepted", name)
		}
	}
}
