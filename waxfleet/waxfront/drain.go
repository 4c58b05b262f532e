package waxfront

import (
	"context"
	"errors"

	"waxwingdrift.org/waxfleet"
)

const (
	// minUnreadyProbes is the number of failed readiness probes after which the load
	// balancer sends no new connections.
	minUnreadyProbes = 2
	// rotationTimeout bounds the wait for minUnreadyProbes. The load balancer probes once
	// a second.
	rotationTimeout waxfleet.Millis = 3_000
	// rotationDelay is the delay after the last probe for connections that are already
	// being opened.
	rotationDelay waxfleet.Millis = 300
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process.
	exitMargin waxfleet.Millis = 500
	// drainPollInterval is the interval between checks while draining.
	drainPollInterval waxfleet.Millis = 50
)

// Drain shuts the instance down. The instance reports that it is not ready, serves until
// the load balancer has taken it out of rotation, and lets requests in flight end.
//
// Errors: CodeStopping when requests are still in flight at the end of the grace period.
func (inst *Instance) Drain(ctx context.Context) error {
	clock := inst.opts.Clock
	started := clock.Now()
	grace := inst.bounds.Load().TerminationGrace
	inst.unreadyProbes.Store(0)
	inst.stopping.Store(true)
	inst.log.Info("stopping", "active", inst.forwarder.Active(), "grace-ms", int64(grace))
	// From now on, responses close their connections. Idle connections are closed here.
	inst.idle.closeIdle()
	ctx, cancel := context.WithTimeout(ctx, (grace - exitMargin).Duration())
	defer cancel()
	inst.registrar.update()
	inst.awaitOutOfRotation(ctx, started)
	err := errors.Join(inst.callerServer.Shutdown(ctx), inst.peerServer.Shutdown(ctx))
	inst.registrar.awaitWritten(ctx)
	inst.log.Info("stopped", "active", inst.forwarder.Active(), "after-ms", int64(clock.Now()-started))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStopping, "%d requests did not finish within the grace period", inst.forwarder.Active())
	}
	return nil
}

// awaitOutOfRotation waits until the load balancer sends no new connections.
func (inst *Instance) awaitOutOfRotation(ctx context.Context, started waxfleet.Millis) {
	clock := inst.opts.Clock
	for clock.Now()-started < rotationTimeout && inst.unreadyProbes.Load() < minUnreadyProbes {
		if clock.Sleep(ctx, drainPollInterval) != nil {
			return
		}
		inst.idle.closeIdle()
	}
	_ = clock.Sleep(ctx, rotationDelay)
	inst.idle.closeIdle()
	_ = clock.Sleep(ctx, drainPollInterval)
}
