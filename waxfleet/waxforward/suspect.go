package waxforward

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcrash"
	"waxwingdrift.org/waxfleet/waxrollout"
)

const (
	// probeDelay is the delay between the end of a connection and the probe of its server.
	// A server that crashed is unreachable for seconds, while one that only reset the
	// connection accepts the probe at once.
	probeDelay waxfleet.Millis = 50
	// beginPeriod is the time from the first event of an answer during which the answer
	// counts as beginning. A part of a prompt that crashes engines does so before its end.
	beginPeriod waxfleet.Millis = 500
	// minBeginDelay is the time within which no engine reads a prompt and begins to answer
	// it. A send that fails sooner met a connection that was already cut.
	minBeginDelay waxfleet.Millis = 20
)

// requestDigest returns a hash of the parts of a request that stay the same when its
// caller retries it.
func requestDigest(req *requestState) string {
	d := xxhash.New()
	for _, part := range []string{req.method, req.target, req.inbound.APIKey} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(req.body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// setTraits sets the traits of the request that may crash servers.
func (req *requestState) setTraits() {
	req.digest = requestDigest(req)
	req.traits = append(partTraits(req.inbound.PromptParts), waxcrash.RequestTrait(req.digest))
}

// partTraits returns the traits of the parts of a prompt that other requests may share.
func partTraits(parts []waxfleet.PromptPart) []waxcrash.Trait {
	traits := make([]waxcrash.Trait, 0, len(parts)+1)
	for i, p := range parts[:max(0, len(parts)-1)] {
		traits = append(traits, waxcrash.PartTrait(p.ID, i))
	}
	return traits
}

// checkBan returns an error if the request would probably crash its server. Without the
// ban, requests with the same trait, which may reach any instance, would crash one server
// after another.
func (f *Forwarder) checkBan(req *requestState) error {
	if req.runsAtCheck == req.runs {
		return nil
	}
	req.runsAtCheck = req.runs
	v := f.opts.Crashes.Check(req.traits)
	if v.Trial() {
		f.opts.FlushUpdates()
		f.opts.Log.Info("banned trait is tried", "request", req.inbound.ID, "digest", req.digest, "traits", traitNames(req.traits))
	}
	return req.banError(v)
}

// banError returns the error of a request that a verdict bans, and sets its Retry-After delay.
func (req *requestState) banError(v waxcrash.Verdict) error {
	if !v.Banned() {
		return nil
	}
	if v.Trait().IsRequest() {
		return waxfleet.NewError(waxfleet.CodeRequestBanned, "%d backend servers died while they ran this request", v.Crashes())
	}
	req.retryAfter = v.RetryAfter()
	err := waxfleet.NewError(waxfleet.CodePromptBanned, "%d backend servers died when they began to answer prompts with a part of this one", v.Crashes())
	if req.runs > 0 {
		return err.WithoutNotRun()
	}
	return err
}

// suspectTraits returns the traits of a request whose server was lost at a time during the
// last send. The parts of its prompt count only if the answer may have been beginning: not
// right after the send, and not once it had been going on for beginPeriod.
func (req *requestState) suspectTraits(lostAt waxfleet.Millis) []waxcrash.Trait {
	tooEarly := req.headerAt == 0 && lostAt-req.sentAt < minBeginDelay
	tooLate := req.firstEventAt > 0 && lostAt-req.firstEventAt >= beginPeriod
	if tooEarly || tooLate {
		return req.traits[len(req.traits)-1:]
	}
	return req.traits
}

// refused reports whether a connection attempt was refused: the machine is there, and the
// server is not. Otherwise the network may have been cut.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// probeServer probes a server in the background after its connection failed during the
// request. It records a crash if the server is unreachable.
func (f *Forwarder) probeServer(ctx context.Context, req *requestState, state *serverState) {
	id, digest, entry := req.inbound.ID, req.digest, req.entry
	sentAt, diedAt := req.sentAt, f.opts.Clock.Now()
	traits, parts := req.suspectTraits(diedAt), sharedPartIDs(req.inbound.PromptParts)
	sinceHeader, sinceEvent := sinceIfSet(diedAt, req.headerAt), sinceIfSet(diedAt, req.firstEventAt)
	ctx = context.WithoutCancel(ctx)
	observe := req.rollout.observer()
	go func() {
		if f.opts.Clock.Sleep(ctx, probeDelay) != nil {
			return
		}
		conn, err := state.pool.Get(ctx)
		if err == nil {
			conn.ReleaseUnused()
			observe(waxrollout.ResultCut)
			return
		}
		if waxfleet.CodeOf(err) != waxfleet.CodePeerUnreachable {
			return
		}
		if !refused(err) {
			traits = traits[len(traits)-1:]
		}
		if !f.reachesOthers(ctx, state) {
			f.opts.Log.Warn("server not reached, nor any other", "request", id, "server", entry.Server().ID())
			return
		}
		incarnation := xxhash.Sum64String(entry.Server().ID() + "/" + strconv.FormatInt(entry.StartUnixMilli(), 10))
		changes := f.opts.Crashes.RecordCrash(max(incarnation, 1), traits, sentAt, diedAt)
		f.opts.FlushUpdates()
		f.opts.Log.Warn("backend server died", "request", id, "server", entry.Server().ID(),
			"digest", digest, "parts", parts, "traits", traitNames(traits), "refused", refused(err),
			"sent-ms", int64(diedAt-sentAt), "header-ms", int64(sinceHeader), "event-ms", int64(sinceEvent))
		waxcrash.LogChanges(f.opts.Log, changes)
		switch {
		case slices.ContainsFunc(traits, func(t waxcrash.Trait) bool { return f.opts.Crashes.Crashes(t) > 0 }):
			observe(waxrollout.ResultBlamed)
		case refused(err):
			observe(waxrollout.ResultCrashed)
		}
	}()
}

// reachesOthers reports whether this instance reaches any other server of the service. If
// not, the network was probably cut, and a refused connection does not show that its server
// crashed. It reports true without another server.
func (f *Forwarder) reachesOthers(ctx context.Context, state *serverState) bool {
	others := f.linkTargets(state.entry.Server().Service(), state)
	return len(others) == 0 || f.connects(ctx, others)
}

// recordAnswer records that a server began to answer a request with the traits, and did
// not crash.
func (f *Forwarder) recordAnswer(traits []waxcrash.Trait) {
	updated, changes := f.opts.Crashes.RecordAnswer(traits)
	if updated {
		f.opts.FlushUpdates()
	}
	waxcrash.LogChanges(f.opts.Log, changes)
}

// recordProgress records an event of an answer. Once the answer has gone on for
// beginPeriod, it shows that the parts of the prompt do not crash servers.
func (f *Forwarder) recordProgress(req *requestState) {
	now := f.opts.Clock.Now()
	if req.firstEventAt == 0 {
		req.firstEventAt = now
		req.rollout.recordFirstEvent(now - req.sentAt)
	}
	f.recordEvent(req, now)
	if !req.partsCleared && now-req.firstEventAt >= beginPeriod {
		req.partsCleared = true
		f.recordAnswer(req.traits[:len(req.traits)-1])
	}
}

// traitNames returns the traits in the form that appears in logs.
func traitNames(traits []waxcrash.Trait) []string {
	names := make([]string, len(traits))
	for i, t := range traits {
		names[i] = t.String()
	}
	return names
}

// sinceIfSet returns the time from at to now, or -1 if at is 0.
func sinceIfSet(now, at waxfleet.Millis) waxfleet.Millis {
	if at == 0 {
		return -1
	}
	return now - at
}

// sharedPartIDs returns the IDs of the parts of a prompt that other requests may share.
func sharedPartIDs(parts []waxfleet.PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts[:max(0, len(parts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}
