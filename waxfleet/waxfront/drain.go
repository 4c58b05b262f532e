package waxfront

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

const (
	// unreadyAnswers is the number of refusals after which the load balancer sends
	// no new connections.
	unreadyAnswers = 2
	// rotationTime bounds the wait for them, in ms. The load balancer asks once a
	// second.
	rotationTime waxfleet.Millis = 3_000
	// rotationMargin is waited after the last refusal, in ms, for connections that
	// are on their way.
	rotationMargin waxfleet.Millis = 300
	// exitMargin is left of the grace time, in ms, for the end of the process.
	exitMargin waxfleet.Millis = 500
	// drainLook is the time between looks at the work in progress, in ms.
	drainLook waxfleet.Millis = 50
)

// Drain shuts the instance down: it says that it is not ready, serves until the
// load balancer has noticed, and lets the work in progress end.
func (f *Front) Drain(ctx context.Context) error {
	clock := f.opts.Clock
	started := clock.Now()
	grace := f.bounds.Load().Grace
	f.refusals.Store(0)
	f.stopping.Store(true)
	f.log.Info("stopping", "active", f.forwarder.Active(), "grace-ms", int64(grace))
	// Answers now close their connections, and idle ones are closed.
	f.idle.expire()
	ctx, cancel := context.WithTimeout(ctx, (grace - exitMargin).Duration())
	defer cancel()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, registryTime)
		defer cancel()
		if err := f.opts.Store.Peers().Withdraw(callCtx, f.opts.Settings.Instance); err != nil {
			f.log.Warn("instance not withdrawn", "error", err.Error())
		}
	}()
	f.awaitRotation(ctx, started)
	err := f.callers.Shutdown(ctx)
	f.log.Info("stopped", "active", f.forwarder.Active(), "after-ms", int64(clock.Now()-started))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStopping, "%d requests did not end in time", f.forwarder.Active())
	}
	return nil
}

// awaitRotation waits until the load balancer sends no new connections.
func (f *Front) awaitRotation(ctx context.Context, started waxfleet.Millis) {
	clock := f.opts.Clock
	for clock.Now()-started < rotationTime && f.refusals.Load() < unreadyAnswers {
		if clock.Sleep(ctx, drainLook) != nil {
			return
		}
		f.idle.expire()
	}
	_ = clock.Sleep(ctx, rotationMargin)
	f.idle.expire()
	_ = clock.Sleep(ctx, drainLook)
}
