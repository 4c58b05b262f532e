package waxserve

import (
	"context"
	"sync"
)

// Freezer holds up work while a stand-in is frozen.
type Freezer struct {
	mu     sync.Mutex
	thawed chan struct{}
}

// Set freezes or thaws.
func (f *Freezer) Set(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case frozen && f.thawed == nil:
		f.thawed = make(chan struct{})
	case !frozen && f.thawed != nil:
		close(f.thawed)
		f.thawed = nil
	}
}

// Wait returns when nothing is frozen, and reports whether it had to wait. The
// error is that of ctx.
func (f *Freezer) Wait(ctx context.Context) (waited bool, err error) {
	for {
		f.mu.Lock()
		thawed := f.thawed
		f.mu.Unlock()
		if thawed == nil {
			return waited, ctx.Err()
		}
		waited = true
		select {
		case <-thawed:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
	}
}
