// Package waxintake bounds the memory and the file descriptors that callers can make a
// router instance hold. It follows each connection from its first byte to the end of its
// last response. When an account is full, it closes connections that hold no whole request.
package waxintake

import (
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"waxwingdrift.org/waxfleet"
)

const (
	// memoryShare is the part of the process's memory for what callers make it hold. Garbage
	// counts until it is collected, and the idle process needs its part.
	memoryShare = 0.25
	// bufferShare is the part of that memory for buffers of responses that ReserveBuffer
	// gives out. Callers that read nothing may hold all of it.
	bufferShare = 0.5
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// ownDescriptors is the number of descriptors for the store, readiness probes, metrics
	// and other instances.
	ownDescriptors = 100
	// descriptorsPerRequest: a caller's request needs its own connection and one to a
	// backend server or another instance.
	descriptorsPerRequest = 2
	// minConnections is the smallest budget of connections.
	minConnections = 8
	// connBytes is charged for an open connection: the goroutine that serves it and its
	// buffers. requestBytes is charged for a request until it ends, beside its header and
	// body.
	connBytes    = 16 << 10
	requestBytes = 24 << 10
	// maxLingering is the maximum number of refused connections that stay open so that
	// their callers can read the refusal.
	maxLingering = 64
	// closeTimeout bounds the wait until evicted connections are closed.
	closeTimeout = time.Second
	// logInterval is the minimum interval between two log lines about a full account.
	logInterval waxfleet.Millis = 1_000
)

// Options configures an Intake.
type Options struct {
	// MemoryBytes is the memory limit of the process, and MaxOpenFiles the maximum number of
	// its descriptors. 0 means unlimited.
	MemoryBytes  int64
	MaxOpenFiles int
	Clock        *waxfleet.Clock
	Log          *slog.Logger
	// Limits returns the limits that the current configuration sets for callers; fields that
	// are 0 set none.
	Limits func() waxfleet.CallerLimits
}

// Intake keeps the accounts of memory and descriptors for all connections of callers, and of
// other instances that send requests on.
type Intake struct {
	opts        Options
	memory      account
	connections account
	// buffers gives out the memory for buffers of responses.
	buffers   *semaphore.Weighted
	lingering chan struct{}
	// closed signals that a connection was closed.
	closed chan struct{}

	mu     sync.Mutex
	lastID uint64
	conns  map[*Conn]struct{}
	// candidates is reused, because it is needed when memory is short.
	candidates []candidate
}

// New returns an Intake.
func New(opts Options) *Intake {
	in := &Intake{
		opts: opts, conns: map[*Conn]struct{}{},
		lingering: make(chan struct{}, maxLingering), closed: make(chan struct{}, 1),
	}
	in.memory.name, in.memory.budget = "memory", memoryBudget(opts.MemoryBytes)
	in.buffers = semaphore.NewWeighted(in.bufferBudget())
	in.connections.name, in.connections.budget = "connections", BackendConnections(opts.MaxOpenFiles)
	in.memory.loggedAt, in.connections.loggedAt = -logInterval, -logInterval
	return in
}

// memoryBudget returns the bytes that callers may make the process hold.
func memoryBudget(memory int64) int64 {
	if memory <= 0 {
		return math.MaxInt64
	}
	return int64(float64(memory) * memoryShare)
}

// bufferBudget returns the bytes for buffers of responses.
func (in *Intake) bufferBudget() int64 {
	if in.memory.budget == math.MaxInt64 {
		return math.MaxInt64
	}
	return max(int64(float64(in.memory.budget)*bufferShare), 1)
}

// BackendConnections returns the number of connections to backend servers that a process with a
// maximum number of descriptors may keep open, which is also that of connections of callers. The
// limit of the operating system prevails if it is lower.
func BackendConnections(maxOpenFiles int) int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && maxOpenFiles > 0 && limit.Cur < uint64(maxOpenFiles) {
		maxOpenFiles = int(limit.Cur)
	}
	return connectionBudget(maxOpenFiles)
}

// connectionBudget returns the number of connections that callers may hold open.
func connectionBudget(maxOpenFiles int) int64 {
	if maxOpenFiles <= 0 {
		return math.MaxInt64
	}
	sockets := max(maxOpenFiles-fileDescriptors, 0)
	own := min(ownDescriptors, sockets/4)
	return int64(max((sockets-own)/descriptorsPerRequest, minConnections))
}

// account counts what connections hold against a budget.
type account struct {
	name   string
	budget int64
	used   atomic.Int64
	// leaving is the part of used that evicted connections still hold.
	leaving             atomic.Int64
	evictions, refusals atomic.Int64
	// loggedAt is the time of the last log line. It is protected by Intake.mu.
	loggedAt waxfleet.Millis
}

// take charges n if that fits.
func (a *account) take(n int64) bool {
	if a.used.Add(n) <= a.budget {
		return true
	}
	a.used.Add(-n)
	return false
}

// fits reports whether n fits once the evicted connections are closed.
func (a *account) fits(n int64) bool { return a.used.Load()-a.leaving.Load()+n <= a.budget }

// Usage is the state of an account.
type Usage struct {
	Account             string
	Used, Budget        int64
	Evictions, Refusals int64
}

// Usages returns the state of all accounts. The budget of an unlimited account is 0.
func (in *Intake) Usages() []Usage {
	out := make([]Usage, 0, 2)
	for _, a := range []*account{&in.memory, &in.connections} {
		u := Usage{Account: a.name, Used: a.used.Load(), Evictions: a.evictions.Load(), Refusals: a.refusals.Load()}
		if a.budget != math.MaxInt64 {
			u.Budget = a.budget
		}
		out = append(out, u)
	}
	return out
}

// open admits a new connection. It returns nil if the connection is refused, because nothing
// can be evicted.
func (in *Intake) open(tcp *net.TCPConn) *Conn {
	in.awaitDescriptor()
	now := in.opts.Clock.Now()
	c := &Conn{TCPConn: tcp, intake: in, waitingSince: now, movedAt: now}
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.makeRoom(&in.connections, 1, nil) || !in.makeRoom(&in.memory, connBytes, nil) {
		return nil
	}
	in.connections.used.Add(1)
	in.memory.used.Add(connBytes)
	in.lastID++
	c.id = in.lastID
	in.conns[c] = struct{}{}
	return c
}

// awaitDescriptor waits while too many evicted connections are still open. New ones stay in
// the backlog of the listener.
func (in *Intake) awaitDescriptor() {
	most := in.connections.budget + in.connections.budget/8
	if in.connections.budget == math.MaxInt64 || in.connections.used.Load() <= most {
		return
	}
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	for in.connections.used.Load() > most {
		select {
		case <-in.closed:
		case <-timeout.C:
			return
		}
	}
}

// drop removes a closed connection from the accounts.
func (in *Intake) drop(c *Conn) {
	in.mu.Lock()
	_, known := in.conns[c]
	delete(in.conns, c)
	in.mu.Unlock()
	if !known {
		return
	}
	c.mu.Lock()
	held, evicted := connBytes+c.held, c.evicted
	c.held, c.dropped = 0, true
	c.mu.Unlock()
	in.memory.used.Add(-held)
	in.connections.used.Add(-1)
	if evicted {
		in.memory.leaving.Add(-held)
		in.connections.leaving.Add(-1)
	}
	select {
	case in.closed <- struct{}{}:
	default:
	}
}

// charge charges n bytes to the current request of the connection. If they don't fit, the connections that hold
// most and move least are evicted.
//
// Errors: CodeRouterFull if this is one of them, or if there is none.
func (in *Intake) charge(c *Conn, n int64) error {
	if !in.memory.take(n) {
		in.mu.Lock()
		room := in.makeRoom(&in.memory, n, c)
		if room {
			in.memory.used.Add(n)
		}
		in.mu.Unlock()
		if !room {
			return errMemoryFull()
		}
	}
	if !c.hold(n) {
		in.memory.used.Add(-n)
		return errMemoryFull()
	}
	return nil
}

func errMemoryFull() error {
	return waxfleet.NewError(waxfleet.CodeRouterFull, "no memory for more requests")
}

// makeRoom evicts connections until n fits the account. It reports false if nothing is left
// to evict, or if asker would be next. It needs in.mu.
func (in *Intake) makeRoom(a *account, n int64, asker *Conn) bool {
	if a.fits(n) {
		return true
	}
	now := in.opts.Clock.Now()
	in.candidates = in.candidates[:0]
	for c := range in.conns {
		if s := c.candidate(); s.phase.evictable() {
			in.candidates = append(in.candidates, s)
		}
	}
	for !a.fits(n) {
		var i int
		if a == &in.memory {
			i = heaviest(in.candidates, now)
		} else {
			i = longestWaiting(in.candidates)
		}
		if i < 0 || in.candidates[i].conn == asker {
			a.refusals.Add(1)
			in.logFull(a, now, nil)
			return false
		}
		chosen := in.candidates[i]
		in.candidates[i].phase = PhaseClosing
		if chosen.conn.evict() {
			a.evictions.Add(1)
			in.logFull(a, now, &chosen)
		}
	}
	return true
}

// logFull logs that the account is full, at most once per logInterval. It needs in.mu.
func (in *Intake) logFull(a *account, now waxfleet.Millis, evicted *candidate) {
	if now-a.loggedAt < logInterval {
		return
	}
	a.loggedAt = now
	attrs := []any{
		"account", a.name, "used", a.used.Load(), "budget", a.budget, "connections", len(in.conns),
		"evictions", a.evictions.Load(), "refusals", a.refusals.Load(),
	}
	if evicted != nil {
		attrs = append(attrs, "evicted-phase", evicted.phase.String(), "evicted-bytes", evicted.held,
			"evicted-still-ms", int64(now-evicted.movedAt), "evicted-waiting-ms", int64(now-evicted.waitingSince))
	}
	in.opts.Log.Warn("account of callers is full", attrs...)
}
