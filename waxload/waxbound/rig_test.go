package waxbound

import (
	"context"
	"testing"

	"waxwingdrift.org/waxload/waxembed"
)

// slots bounds the fleets that run at a time, so that scheduling delays stay
// far below the bounds that are checked.
var slots = make(chan struct{}, fleets)

// slot waits for a place and returns the context of a fleet.
func slot(t *testing.T) context.Context {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx
}

func startRig(t *testing.T, opts waxembed.Options) *rig {
	t.Helper()
	r, err := newRig(slot(t), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { report(t, "run", r.found) })
	return r
}

func report(t *testing.T, what string, found []Violation) {
	t.Helper()
	for i, v := range found {
		if i == 10 {
			break
		}
		t.Errorf("%s: %s", what, v)
	}
	if len(found) > 10 {
		t.Errorf("%s: %d violations in all", what, len(found))
	}
}
