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

// SetFrozen closes the gate if frozen is true and opens it otherwise.
func (g *FreezeGate) SetFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.opened == nil:
		g.opened = make(chan struct{})
	case !frozen && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// Wait blocks while the gate is closed, and reports whether it had to wait. It
// returns the error of ctx if ctx ends.
func (g *FreezeGate) Wait(ctx context.Context) (waited bool, err error) {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
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
