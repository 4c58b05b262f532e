package waxforward

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

// probeDelay is the delay between the end of a connection and the probe of its server. A
// server that crashed is unreachable for seconds, while one that only reset the
// connection accepts the probe at once.
const probeDelay waxfleet.Millis = 50

const (
	// completionTTL is how long a completed request is exempt from suspicion. Callers
	// repeat popular requests within seconds.
	completionTTL waxfleet.Millis = 60_000
	// maxCompletions is the maximum number of digests of completed requests. Each takes
	// about 100 bytes.
	maxCompletions = 10_000
)

// completions remembers which requests completed recently. If several servers crash at
// once while each runs the same popular request, that request is not the cause: if it
// were, it would never complete.
type completions struct {
	clock  *waxfleet.Clock
	recent *lru.Cache[string, waxfleet.Millis]
}

func newCompletions(clock *waxfleet.Clock) *completions {
	recent, err := lru.New[string, waxfleet.Millis](maxCompletions)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &completions{clock: clock, recent: recent}
}

// add records that a request with the digest completed.
func (c *completions) add(digest string) { c.recent.Add(digest, c.clock.Now()) }

// completedRecently reports whether a request with the digest completed within
// completionTTL.
func (c *completions) completedRecently(digest string) bool {
	at, ok := c.recent.Get(digest)
	return ok && c.clock.Now()-at < completionTTL
}

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

// checkBan sets the digest of the request, and returns CodeRequestBanned if the request
// has crashed several backend servers. Without the ban, the caller's retries, which may
// reach any instance, would crash one server after another.
func (f *Forwarder) checkBan(req *requestState) error {
	req.digest = requestDigest(req)
	if f.opts.Suspects.Banned(req.digest) {
		return waxfleet.NewError(waxfleet.CodeRequestBanned, "%d backend servers died while they ran this request", f.opts.Suspects.Deaths(req.digest))
	}
	return nil
}

// probeServer probes a server in the background after its connection failed during the
// request. It records a death if the server is unreachable.
func (f *Forwarder) probeServer(ctx context.Context, req *requestState, state *serverState) {
	digest, id := req.digest, req.inbound.ID
	entry := req.entry
	parts, sinceSent, sinceHeader := sharedPartIDs(req.inbound.PromptParts), f.opts.Clock.Now()-req.sentAt, waxfleet.Millis(-1)
	if req.headerAt > 0 {
		sinceHeader = f.opts.Clock.Now() - req.headerAt
	}
	incarnation := entry.Server().ID() + "/" + strconv.FormatInt(entry.StartUnixMilli(), 10)
	ctx = context.WithoutCancel(ctx)
	go func() {
		if f.opts.Clock.Sleep(ctx, probeDelay) != nil {
			return
		}
		conn, err := state.pool.Get(ctx)
		if err == nil {
			conn.Discard()
			return
		}
		if waxfleet.CodeOf(err) != waxfleet.CodePeerUnreachable {
			return
		}
		deaths, completed := 0, f.completions.completedRecently(digest)
		if !completed {
			deaths = f.opts.Suspects.RecordDeath(digest, incarnation)
		}
		f.opts.Log.Warn("backend server died", "request", id, "server", entry.Server().ID(),
			"digest", digest, "deaths", deaths, "completed-lately", completed,
			"parts", parts, "sent-ms", int64(sinceSent), "header-ms", int64(sinceHeader))
	}()
}

// sharedPartIDs returns the IDs of the parts of a prompt that other requests may share.
func sharedPartIDs(parts []waxfleet.PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts[:max(0, len(parts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}
