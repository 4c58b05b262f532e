package waxfront

import (
	"context"
	"log/slog"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxroster"
)

const (
	// registryTimeout is the timeout of a call to the registry of instances.
	registryTimeout = 2 * time.Second
	// minRegisterDelay and maxRegisterDelay bound the exponential retry delay.
	minRegisterDelay waxfleet.Millis = 200
	maxRegisterDelay waxfleet.Millis = 2_000
	// registeredDelay is the time after a registration for which a replica of the registry
	// may lack the entry.
	registeredDelay waxfleet.Millis = 3_000
	// registerInterval is the minimum interval between two registrations.
	registerInterval waxfleet.Millis = 500
	// removeInterval is the interval between two looks for entries that were left behind.
	removeInterval waxfleet.Millis = 10_000
)

// registrarOptions configures a registrar.
type registrarOptions struct {
	instance string
	clock    *waxfleet.Clock
	log      *slog.Logger
	registry waxfleet.PeerRegistry
	roster   *waxroster.Roster
	// entry returns the entry that the registry should hold.
	entry func() waxfleet.PeerEntry
	// removes reports whether this instance deletes entries that were left behind.
	removes func() bool
}

// registrar keeps the entry of this instance in the registry of instances up to date, also
// while the instance stops: the entry is the record of what the instance knows that has to
// outlast it.
type registrar struct {
	registrarOptions

	// outdated signals that the registry does not hold the entry, and urgent that it is not to
	// wait for registerInterval.
	outdated, urgent chan struct{}
}

// newRegistrar starts a registrar that runs until ctx ends.
func newRegistrar(ctx context.Context, opts registrarOptions) *registrar {
	r := &registrar{registrarOptions: opts, outdated: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-r.outdated:
			}
			r.settle(ctx, r.write(ctx))
		}
	}()
	go func() {
		for r.clock.Sleep(ctx, removeInterval) == nil {
			r.removeLeftBehind(ctx)
		}
	}()
	return r
}

// check makes the registrar write the entry if the registry was read and does not hold it: at
// the first start, when a write of an earlier process took effect late, and when the entry has
// changed.
func (r *registrar) check() {
	if own, read := r.roster.Own(); read && own.Entry() != r.entry() {
		notify(r.outdated)
	}
}

// update makes the registrar write a changed entry at once.
func (r *registrar) update() {
	notify(r.urgent)
	r.check()
}

// notify makes a value available in the channel, which holds at most one.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// write writes the entry, and retries until it succeeds or ctx ends. It returns what it has
// written.
func (r *registrar) write(ctx context.Context) waxfleet.PeerEntry {
	for delay := minRegisterDelay; ; delay = min(delay*2, maxRegisterDelay) {
		entry := r.entry()
		err := r.writeOnce(ctx, entry)
		if err == nil {
			r.log.Info("instance registered", "address", entry.Address, "stopping", entry.Stopping, "bans", entry.Bans, "software-versions", entry.SoftwareVersions)
			r.roster.RecordWritten(entry)
			return entry
		}
		r.log.Warn("failed to register instance; retrying", "error", err.Error(), "again-in-ms", int64(delay))
		if r.clock.Sleep(ctx, delay) != nil {
			return entry
		}
	}
}

// writeOnce makes one attempt to write the entry.
func (r *registrar) writeOnce(ctx context.Context, entry waxfleet.PeerEntry) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if own, _ := r.roster.Own(); own.Revision() != 0 {
		err := r.registry.Update(ctx, r.instance, entry, own.Revision())
		switch waxfleet.CodeOf(err) {
		case waxfleet.CodeObjectConflict, waxfleet.CodeObjectNotFound:
		default:
			return err
		}
	}
	return r.registry.Register(ctx, r.instance, entry)
}

// settle waits until a replica of the registry shows the written entry, or until there is
// another one to be written.
func (r *registrar) settle(ctx context.Context, written waxfleet.PeerEntry) {
	for waited := waxfleet.Millis(0); waited < registeredDelay && r.entry() == written; waited += registerInterval {
		select {
		case <-r.urgent:
		case <-time.After(registerInterval.Duration()):
		case <-ctx.Done():
			return
		}
	}
	if r.entry() == written {
		select {
		case <-r.outdated:
		default:
		}
	}
}

// awaitWritten waits until the registry holds the entry, or until ctx ends. It does not wait if
// the registry was not read: the entry is then that of an earlier process.
func (r *registrar) awaitWritten(ctx context.Context) {
	for {
		own, read := r.roster.Own()
		if !read || own.Entry() == r.entry() || r.clock.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}

// removeLeftBehind deletes the entries of instances that were told to stop and did not come
// back.
func (r *registrar) removeLeftBehind(ctx context.Context) {
	if !r.removes() {
		return
	}
	for _, m := range r.roster.LeftBehind() {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		err := r.registry.Deregister(callCtx, m.Name(), m.Revision())
		cancel()
		if err != nil {
			r.log.Warn("failed to delete the entry of an instance that has ended", "peer", m.Name(), "error", err.Error())
			return
		}
		r.log.Info("entry of an instance that has ended deleted", "peer", m.Name(), "revision", m.Revision())
	}
}
