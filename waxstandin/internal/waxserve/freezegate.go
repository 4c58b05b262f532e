package waxserve

import (
	"context"
	"sync"
)

// FreezeGate blocks work while a fake server is frozen. The zero value is open.
type FreezeGate struct {
	mu     sync.Mutex
	opened chan struct{}
}

// Set closes the gate if frozen is true and opens it otherwise.
func (f *FreezeGate) Set(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case frozen && f.opened == nil:
		f.opened = make(chan struct{})
	case !frozen && f.opened != nil:
		close(f.opened)
		f.opened = nil
	}
}

// Wait blocks while the gate is closed, and reports whether it had to wait. It
// returns the error of ctx if ctx ends.
func (f *FreezeGate) Wait(ctx context.Context) (waited bool, err error) {
	for {
		f.mu.Lock()
		opened := f.opened
		f.mu.Unlock()
		if opened == nil {
			return waited, ctx.Err()
		}
		waited = true
		select {
		case <-opened:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
	}
}
