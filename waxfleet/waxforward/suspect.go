package waxforward

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

// probeDelay is the time between the end of a connection and the probe of its
// server. A server that crashed is away for seconds, while one that only reset
// the connection accepts the probe at once.
const probeDelay waxfleet.Millis = 50

const (
	// completionLifetime is how long a completed request is exempt from
	// suspicion. Clients repeat popular requests within seconds.
	completionLifetime waxfleet.Millis = 60_000
	// maxCompletions limits the digests of completed requests, of about 100 bytes
	// each.
	maxCompletions = 10_000
)

// completions remembers which requests completed recently. If several servers
// crash at once, each with the same popular request in flight, that request is
// not the cause: it would never complete otherwise.
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
// completionLifetime.
func (c *completions) completedRecently(digest string) bool {
	at, ok := c.recent.Get(digest)
	return ok && c.clock.Now()-at < completionLifetime
}

// requestDigest returns a hash of the parts of a request that stay the same
// when its client sends it again.
func requestDigest(c *requestState) string {
	d := xxhash.New()
	for _, part := range []string{c.method, c.target, c.inbound.APIKey} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(c.body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// checkBan refuses a request that has crashed several backend servers. Without
// the ban it would crash every server that runs it, as its client sends it
// again to any instance.
func (f *Forwarder) checkBan(c *requestState) error {
	c.digest = requestDigest(c)
	if f.opts.Suspects.Banned(c.digest) {
		return waxfleet.NewError(waxfleet.CodeRequestBanned, "%d backend servers died while they ran this request", f.opts.Suspects.Deaths(c.digest))
	}
	return nil
}

// probeAfterFailure probes a server after its connection failed during the
// request, and records a death if the server is unreachable.
func (f *Forwarder) probeAfterFailure(ctx context.Context, c *requestState, v *serverState) {
	digest, id := c.digest, c.inbound.ID
	entry := c.entry
	incarnation := entry.Server().ID() + "/" + strconv.FormatInt(entry.StartUnixMilli(), 10)
	ctx = context.WithoutCancel(ctx)
	go func() {
		if f.opts.Clock.Sleep(ctx, probeDelay) != nil {
			return
		}
		conn, err := v.pool.Get(ctx)
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
		f.opts.Log.Warn("backend server died", "request", id, "server", entry.Server().ID(), "digest", digest, "deaths", deaths,
			"completed-lately", completed)
	}()
}
