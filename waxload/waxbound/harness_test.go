package waxbound

import (
	"context"
	"testing"

	"waxwingdrift.org/waxload/waxembed"
)

// fleetSlots limits the number of concurrent fleets, so that scheduling delays stay
// far below the bounds under test.
var fleetSlots = make(chan struct{}, maxFleets)

// acquireFleetSlot marks the test as parallel, waits for a free slot and returns
// the context of the fleet. The end of the test frees the slot.
func acquireFleetSlot(t *testing.T) context.Context {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx
}

func startHarness(t *testing.T, opts waxembed.Options) *harness {
	t.Helper()
	h, err := newHarness(acquireFleetSlot(t), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reportViolations(t, "run", h.violations) })
	return h
}

func reportViolations(t *testing.T, what string, violations []Violation) {
	t.Helper()
	for i, v := range violations {
		if i == 10 {
			break
		}
		t.Errorf("%s: %s", what, v)
	}
	if len(violations) > 10 {
		t.Errorf("%s: %d violations in total", what, len(violations))
	}
}
