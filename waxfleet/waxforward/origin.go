package waxforward

import (
	"context"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxorigin"
)

const (
	// minTakeUpAge is the age up to which callers may take a stream up on any route. On a
	// route with a long timeout, it is twice that.
	minTakeUpAge waxfleet.Millis = 30_000
	// originMargin is added to the time for which the origin of a stream is kept.
	originMargin waxfleet.Millis = 1_000
	// originTimeout is how long the first event of a stream waits until the store has the
	// origin of the stream. A slow store takes some hundred ms.
	originTimeout waxfleet.Millis = 400
	// maxListAge is the age up to which the list of backend servers shows the versions in
	// service, although no other instance was heard from.
	maxListAge waxfleet.Millis = 2_000
)

// pinVersion pins a request that takes a stream up to the software version that began it.
func (f *Forwarder) pinVersion(ctx context.Context, req *requestState) error {
	if req.pinned || req.route.Kind() != waxfleet.KindStream || req.inbound.LastEventID < 0 {
		return nil
	}
	stream := waxorigin.StreamHash(req.streamID())
	source := "own"
	o, known := f.opts.Origins.Origin(stream)
	if !known {
		if version, only := f.onlyVersion(req); only {
			req.pin(version)
			return nil
		}
		if req.inbound.Resumes != "" {
			source = "instances"
			o, known = f.opts.AskOrigin(ctx, stream)
		}
		if !known && req.inbound.Resumes != "" {
			source = "store"
			o, known = f.opts.ReadOrigin(ctx, stream)
		}
	}
	f.opts.Log.Info("stream taken up", "request", req.inbound.ID, "resumes", req.inbound.Resumes, "known", known,
		"software-version", o.Version(), "source", source)
	if !known {
		return waxfleet.NewError(waxfleet.CodeOriginUnknown, "software version that began the stream is unknown")
	}
	return req.pinOrigin(o)
}

// pinOrigin pins the request to the version of the origin of its stream.
func (req *requestState) pinOrigin(o waxorigin.Origin) error {
	if o.Service() != req.service {
		return waxfleet.NewError(waxfleet.CodeNoBackendServer, "stream began at service %s, and its route leads to %s", o.Service(), req.service)
	}
	req.pin(o.Version())
	return nil
}

// streamID returns the ID of the attempt that began the stream of the request.
func (req *requestState) streamID() string {
	if req.inbound.LastEventID >= 0 && req.inbound.Resumes != "" {
		return req.inbound.Resumes
	}
	return req.inbound.ID
}

// onlyVersion returns the software version that began the stream of the request, if there
// is only one that may have.
func (f *Forwarder) onlyVersion(req *requestState) (string, bool) {
	age, ok := f.opts.Freshness.Age()
	if (!ok || age > maxListAge) && !f.opts.HearsFleet() {
		return "", false
	}
	versions, ok := f.opts.Versions.Possible(req.service, takeUpAge(req.route))
	if !ok || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// takeUpAge returns the age up to which callers may take a stream of the route up.
func takeUpAge(route waxfleet.Route) waxfleet.Millis { return max(minTakeUpAge, 2*route.Timeout()) }

// recordOrigin pins the request to the software version of the server that sent the first
// event, and records it for callers who take the stream up. While several versions are in
// use, it waits until the store has the record: a caller who has seen an event may have to
// take the stream up after all instances were killed.
func (f *Forwarder) recordOrigin(ctx context.Context, req *requestState) {
	req.pin(req.entry.SoftwareVersion())
	if !req.route.Resumable() {
		return
	}
	expiresAt := max(req.deadline, req.arrivedAt+req.inbound.Timeout) + originMargin
	o := waxorigin.NewOrigin(waxorigin.StreamHash(req.streamID()), req.service, req.version, expiresAt)
	f.opts.Origins.Record(o)
	if !f.opts.Versions.Ambiguous(req.service, takeUpAge(req.route)) {
		return
	}
	f.opts.TellOrigins(o)
	if !f.opts.AwaitOrigin(ctx, o.Stream(), originTimeout) {
		f.opts.Log.Debug("origin of a stream is not in the store", "request", req.inbound.ID, "timeout-ms", int64(originTimeout))
	}
}

// pin restricts the request to servers of a software version.
func (req *requestState) pin(version string) { req.version, req.pinned = version, true }

// excludesVersion reports whether the request may not be sent to servers of the software
// version.
func (req *requestState) excludesVersion(version string) bool {
	return req.pinned && version != req.version || req.rollout.excludes(version, req.pinned)
}
