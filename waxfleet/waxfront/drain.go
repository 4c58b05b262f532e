package waxfront

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

const (
	// minUnreadyProbes is the number of failed readiness probes after which the load
	// balancer sends no new connections.
	minUnreadyProbes = 2
	// maxRotationWait bounds the wait for minUnreadyProbes, in ms. The load balancer
	// probes once a second.
	maxRotationWait waxfleet.Millis = 3_000
	// rotationMargin is the wait after the last probe for connections that are already
	// being opened, in ms.
	rotationMargin waxfleet.Millis = 300
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process, in ms.
	exitMargin waxfleet.Millis = 500
	// drainPollInterval is the interval between checks while draining, in ms.
	drainPollInterval waxfleet.Millis = 50
)

// Drain shuts the instance down: it reports that it is not ready, serves until the load
// balancer has taken it out of rotation, and lets requests in flight end.
//
// Errors: CodeStopping when requests are left at the end of the grace period.
func (f *Instance) Drain(ctx context.Context) error {
	clock := f.opts.Clock
	started := clock.Now()
	grace := f.bounds.Load().TerminationGrace
	f.unreadyProbes.Store(0)
	f.stopping.Store(true)
	f.log.Info("stopping", "active", f.forwarder.Active(), "grace-ms", int64(grace))
	// From now on, responses close their connections. Idle connections are closed here.
	f.idle.closeIdle()
	ctx, cancel := context.WithTimeout(ctx, (grace - exitMargin).Duration())
	defer cancel()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		defer cancel()
		if err := f.opts.Store.Peers().Deregister(callCtx, f.opts.Settings.Instance); err != nil {
			f.log.Warn("failed to withdraw instance", "error", err.Error())
		}
	}()
	f.awaitOutOfRotation(ctx, started)
	err := f.callerServer.Shutdown(ctx)
	f.log.Info("stopped", "active", f.forwarder.Active(), "after-ms", int64(clock.Now()-started))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStopping, "%d requests did not finish within the grace period", f.forwarder.Active())
	}
	return nil
}

// awaitOutOfRotation waits until the load balancer sends no new connections.
func (f *Instance) awaitOutOfRotation(ctx context.Context, started waxfleet.Millis) {
	clock := f.opts.Clock
	for clock.Now()-started < maxRotationWait && f.unreadyProbes.Load() < minUnreadyProbes {
		if clock.Sleep(ctx, drainPollInterval) != nil {
			return
		}
		f.idle.closeIdle()
	}
	_ = clock.Sleep(ctx, rotationMargin)
	f.idle.closeIdle()
	_ = clock.Sleep(ctx, drainPollInterval)
}
