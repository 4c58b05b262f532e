package waxforward

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

// probeWait is the time between the end of a connection and the look at its
// server, in ms. A server that crashed is away for seconds, and one that only
// reset the connection answers at once.
const probeWait waxfleet.Millis = 50

const (
	// completedTime is how long a completed run speaks for a request, in ms. Clients
	// repeat popular requests within seconds.
	completedTime waxfleet.Millis = 60_000
	// maxCompleted bounds the remembered digests of completed requests, of about 100
	// bytes each.
	maxCompleted = 10_000
)

// completions remembers which requests completed lately. It answers the pattern of
// several servers that crash at once, each with the same popular request among its
// work: that request does not end them, or it would never complete.
type completions struct {
	clock  *waxfleet.Clock
	recent *lru.Cache[string, waxfleet.Millis]
}

func newCompletions(clock *waxfleet.Clock) *completions {
	recent, err := lru.New[string, waxfleet.Millis](maxCompleted)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &completions{clock: clock, recent: recent}
}

// note remembers that a request with the digest completed.
func (c *completions) note(digest string) { c.recent.Add(digest, c.clock.Now()) }

// lately reports whether a request with the digest completed not long ago.
func (c *completions) lately(digest string) bool {
	at, ok := c.recent.Get(digest)
	return ok && c.clock.Now()-at < completedTime
}

// digestOf identifies a request by what its caller sends again with it.
func digestOf(c *call) string {
	d := xxhash.New()
	for _, part := range []string{c.method, c.target, c.in.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(c.body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// clearOfSuspicion refuses a request that ended several backend servers. It
// answers the pattern of a request that crashes each server that runs it, and
// that its caller sends again to any instance.
func (f *Forwarder) clearOfSuspicion(c *call) error {
	c.digest = digestOf(c)
	if f.opts.Suspects.Banned(c.digest) {
		return waxfleet.NewError(waxfleet.CodeRequestBanned, "%d backend servers died while they ran this request", f.opts.Suspects.Deaths(c.digest))
	}
	return nil
}

// suspect looks whether a server died while it ran the request, after its
// connection has ended.
func (f *Forwarder) suspect(ctx context.Context, c *call, v *server) {
	digest, id := c.digest, c.in.ID
	entry := c.entry
	life := entry.Server().ID() + "/" + strconv.FormatInt(entry.Born(), 10)
	ctx = context.WithoutCancel(ctx)
	go func() {
		if f.opts.Clock.Sleep(ctx, probeWait) != nil {
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
		deaths, completed := 0, f.completed.lately(digest)
		if !completed {
			deaths = f.opts.Suspects.Died(digest, life)
		}
		f.opts.Log.Warn("backend server died", "request", id, "server", entry.Server().ID(), "digest", digest, "deaths", deaths,
			"completed-lately", completed)
	}()
}
