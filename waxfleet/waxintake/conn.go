package waxintake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconn"
)

const (
	// A body must go on by minProgress bytes in progressTimeout. The time exceeds that of
	// six retransmissions of a lost segment.
	minProgress                     = 1 << 10
	progressTimeout waxfleet.Millis = 15_000
	// headerSlack is added to the header timeout of the configuration for delays of the
	// network.
	headerSlack waxfleet.Millis = 2_000
	// headerByteCost and headerLineCost are the memory that net/http needs for a byte and a
	// line of a header.
	headerByteCost = 2
	headerLineCost = 128
	// readAhead is the size of net/http's read buffer: a read may contain as many bytes
	// beyond the header.
	readAhead = 4 << 10
	// maxDiscardBytes is the length up to which the body of a refused request is read, so
	// that the connection can be kept, and discardTimeout the time for that.
	maxDiscardBytes                 = 64 << 10
	discardTimeout  waxfleet.Millis = 500
	// lingerTimeout and lingerBytes bound what is read from a refused connection before it
	// is closed. Closing it with unread bytes would reset it, and the caller might lose the
	// response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After delay of refusals.
	minRetryAfter waxfleet.Millis = 200
	maxRetryAfter waxfleet.Millis = 600
	// answerSlack is the time after the deadline of a request in which a caller may read the
	// rest of the response.
	answerSlack waxfleet.Millis = 2_000
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is a connection of a caller. The methods that handlers call do nothing on a nil Conn.
type Conn struct {
	*net.TCPConn
	intake *Intake
	id     uint64

	mu    sync.Mutex
	phase Phase
	// held is the memory charged for the current request.
	held                  int64
	waitingSince, movedAt waxfleet.Millis
	// progress is the number of bytes since movedAt.
	progress    int
	headerBytes int
	// deadline is the latest time for the header or the body to arrive; 0 if there is none.
	deadline waxfleet.Millis
	// serverDeadline is the read deadline that the http.Server has set, and limited is true
	// while an earlier one of this package is in force.
	serverDeadline time.Time
	limited        bool
	bodyStarted    bool
	evicted        bool
	dropped        bool
	// failure is the reason for which the rest of the request is not read.
	failure *waxfleet.Error
}

// Of returns the connection of the request with the context, or nil if its server has no
// Listener or lacks the ConnContext of waxconn.
func Of(ctx context.Context) *Conn {
	c, _ := waxconn.NetConn(ctx).(*Conn)
	return c
}

// Track is a ConnState hook for the http.Server of a Listener, which needs it.
func Track(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.idle()
	}
}

// idle records that the last response was sent completely.
func (c *Conn) idle() {
	now := c.intake.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == PhaseClosing {
		return
	}
	c.phase, c.waitingSince, c.movedAt, c.progress = PhaseIdle, now, now, 0
	c.deadline, c.bodyStarted, c.failure = 0, false, nil
}

// Begin records that the header of a request was read. End must follow.
//
// Errors: CodeRouterFull if the connection was evicted, or if there is no memory for the
// request.
func (c *Conn) Begin(hasBody bool) error {
	if c == nil {
		return nil
	}
	now := c.intake.opts.Clock.Now()
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return errEvicted()
	}
	c.phase, c.movedAt, c.progress = PhaseAnswer, now, 0
	if hasBody {
		c.phase = PhaseBody
	}
	c.deadline = 0
	c.mu.Unlock()
	if err := c.intake.charge(c, requestBytes); err != nil {
		return c.fail(err)
	}
	return nil
}

// Whole records that the whole request was read. From then on the connection is not evicted.
//
// Errors: CodeRouterFull if it was evicted before.
func (c *Conn) Whole() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return errEvicted()
	}
	c.phase = PhaseAnswer
	c.unlimit()
	return nil
}

// End records that the handler has returned.
func (c *Conn) End() { c.release(math.MaxInt64) }

func errEvicted() error {
	return waxfleet.NewError(waxfleet.CodeRouterFull, "the router closes connections that hold no whole request")
}

// KeepAfterRefusal reports whether the connection can be kept after the response to a request
// that is refused, and bounds what is still read of its body. announced is the length of the
// body, or -1. If it reports false, the response must close the connection.
func (c *Conn) KeepAfterRefusal(announced int64) bool {
	if c == nil {
		return true
	}
	now := c.intake.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted, c.failure != nil:
	case c.phase == PhaseAnswer:
		return true
	case c.phase == PhaseBody && !c.bodyStarted && announced >= 0 && announced <= maxDiscardBytes:
		c.deadline = now + discardTimeout
		return true
	}
	c.phase = PhaseClosing
	return false
}

// AnswerBy sets the time until which the caller may read the response. A caller that does
// not read it would hold it forever.
func (c *Conn) AnswerBy(deadline waxfleet.Millis) {
	if c == nil {
		return
	}
	left := deadline + answerSlack - c.intake.opts.Clock.Now()
	// An error means that the connection is closed. http.Server clears the deadline.
	_ = c.SetWriteDeadline(time.Now().Add(left.Duration()))
}

// hold adds n bytes to what the current request holds. It reports false if the connection was
// evicted.
func (c *Conn) hold(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.dropped {
		return false
	}
	c.held += n
	return true
}

// charge charges n bytes to the current request.
//
// Errors: CodeRouterFull.
func (c *Conn) charge(n int64) error {
	if c == nil {
		return nil
	}
	return c.intake.charge(c, n)
}

// ReserveBuffer waits for n bytes of memory for a part of the response, which counts for the
// current request until release is called. It waits rather than fails because the request
// is under way; ctx ends the wait. A request that waits must not hold another buffer.
func (c *Conn) ReserveBuffer(ctx context.Context, n int64) (release func(), err error) {
	if c == nil {
		return func() {}, nil
	}
	in := c.intake
	// A process that is too small for one buffer holds one at a time.
	n = min(n, in.bufferBudget())
	if err := in.buffers.Acquire(ctx, n); err != nil {
		return nil, fmt.Errorf("wait for memory for a response: %w", err)
	}
	in.memory.used.Add(n)
	if !c.hold(n) {
		in.memory.used.Add(-n)
		return func() { in.buffers.Release(n) }, nil
	}
	return func() {
		c.release(n)
		in.buffers.Release(n)
	}, nil
}

// release gives back n bytes of the current request, or what it holds if that is less.
func (c *Conn) release(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	n = min(n, c.held)
	c.held -= n
	evicted := c.evicted
	c.mu.Unlock()
	c.intake.memory.used.Add(-n)
	if evicted {
		c.intake.memory.leaving.Add(-n)
	}
}

// candidate returns the state of the connection.
func (c *Conn) candidate() candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := c.phase
	if c.evicted {
		phase = PhaseClosing
	}
	return candidate{conn: c, id: c.id, phase: phase, held: connBytes + c.held, waitingSince: c.waitingSince, movedAt: c.movedAt}
}

// evict lets the next read of the connection fail, and bounds the time for the refusal. The
// goroutine that serves it refuses the request and closes the connection. evict reports false
// if a whole request was read meanwhile.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || !c.phase.evictable() {
		return false
	}
	c.evicted = true
	c.intake.memory.leaving.Add(connBytes + c.held)
	c.intake.connections.leaving.Add(1)
	// An error means that the connection is closed.
	_ = c.TCPConn.SetReadDeadline(longAgo)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	refused := c.phase == PhaseClosing && !c.dropped
	c.mu.Unlock()
	if refused && c.intake.takeLingering() {
		linger(c.TCPConn)
		c.intake.giveLingering()
	}
	err := c.TCPConn.Close()
	c.intake.drop(c)
	return err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline, c.limited = t, false
	if c.evicted {
		t = longAgo
	}
	return c.TCPConn.SetReadDeadline(t)
}

// limit brings the read deadline forward to the latest time for the next part of a request.
// It needs c.mu.
func (c *Conn) limit(now waxfleet.Millis) {
	by := c.deadline
	if c.phase == PhaseBody && (by == 0 || c.movedAt+progressTimeout < by) {
		by = c.movedAt + progressTimeout
	}
	if by == 0 {
		return
	}
	at := time.Now().Add((by - now).Duration())
	if !c.serverDeadline.IsZero() && c.serverDeadline.Before(at) {
		return
	}
	c.limited = true
	_ = c.TCPConn.SetReadDeadline(at)
}

// unlimit restores the read deadline of the http.Server. It needs c.mu.
func (c *Conn) unlimit() {
	if c.limited {
		c.limited = false
		_ = c.TCPConn.SetReadDeadline(c.serverDeadline)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.mayRead() {
		return 0, io.EOF
	}
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			if rerr := c.received(p[:n]); rerr != nil {
				return 0, c.refuse(rerr)
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if rerr := c.timedOut(); rerr != nil {
			return 0, c.refuse(rerr)
		}
		if c.serverTimedOut() {
			return 0, err
		}
	}
}

// mayRead reports whether more of the request is read, and limits the time for it.
func (c *Conn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == PhaseClosing {
		return false
	}
	if !c.limited && !c.evicted && (c.phase == PhaseHeader || c.phase == PhaseBody) {
		c.limit(c.intake.opts.Clock.Now())
	}
	return true
}

// received charges the bytes of a header, and records the progress of a request.
func (c *Conn) received(p []byte) error {
	now := c.intake.opts.Clock.Now()
	c.mu.Lock()
	if c.phase == PhaseIdle {
		c.phase, c.movedAt, c.progress, c.headerBytes = PhaseHeader, now, 0, 0
		if t := c.intake.opts.Limits().HeaderTimeout; t > 0 {
			c.deadline = now + t + headerSlack
		}
	}
	c.progress += len(p)
	if c.progress >= minProgress {
		c.movedAt, c.progress = now, 0
	}
	if c.phase != PhaseHeader {
		c.mu.Unlock()
		return nil
	}
	c.headerBytes += len(p)
	size := c.headerBytes
	c.mu.Unlock()
	if limit := c.intake.opts.Limits().MaxHeaderBytes; limit > 0 && size > limit+readAhead {
		return waxfleet.NewError(waxfleet.CodeHeaderTooLarge, "request header exceeds %d bytes", limit)
	}
	return c.intake.charge(c, int64(len(p)*headerByteCost+bytes.Count(p, []byte{'\n'})*headerLineCost))
}

// timedOut returns the reason for which the rest of the request is not awaited. It returns
// nil if there is none, and limits the time again.
func (c *Conn) timedOut() error {
	now := c.intake.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted:
		return errEvicted()
	case c.phase == PhaseHeader && c.deadline > 0 && now >= c.deadline:
		return waxfleet.NewError(waxfleet.CodeRequestTimeout, "request header did not arrive in time")
	case c.phase == PhaseBody && c.deadline > 0 && now >= c.deadline:
		return waxfleet.NewError(waxfleet.CodeRequestTimeout, "request body did not arrive in time")
	case c.phase == PhaseBody && now >= c.movedAt+progressTimeout:
		return waxfleet.NewError(waxfleet.CodeRequestTimeout, "less than %d bytes of the request body arrived in %d ms", minProgress, progressTimeout)
	}
	if c.phase == PhaseHeader || c.phase == PhaseBody {
		c.limit(now)
	} else {
		_ = c.TCPConn.SetReadDeadline(c.serverDeadline)
	}
	return nil
}

// serverTimedOut reports whether the deadline of the http.Server has passed.
func (c *Conn) serverTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.serverDeadline.IsZero() && !c.serverDeadline.After(time.Now())
}

// refuse ends the reading of a request. The handler responds once it has begun; before, the
// refusal is written here. net/http writes nothing itself after the returned error.
func (c *Conn) refuse(cause error) error {
	_ = c.fail(cause)
	c.mu.Lock()
	phase, failure := c.phase, c.failure
	c.mu.Unlock()
	if phase == PhaseIdle && c.requestWaits() {
		phase = PhaseHeader
	}
	if phase == PhaseHeader {
		c.mu.Lock()
		c.phase = PhaseClosing
		c.mu.Unlock()
	}
	if phase == PhaseHeader && failure != nil {
		writeRefusal(c.TCPConn, failure)
	}
	return os.ErrDeadlineExceeded
}

// requestWaits reports whether bytes of a request have arrived on an evicted connection.
func (c *Conn) requestWaits() bool {
	raw, err := c.SyscallConn()
	if err != nil || c.TCPConn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		n, _ = unix.Read(int(fd), first[:])
		return true // doesn't wait for more
	})
	return err == nil && n > 0
}

// fail records and returns the reason for which the current request is not read on.
func (c *Conn) fail(cause error) error {
	var e *waxfleet.Error
	if c != nil && errors.As(cause, &e) {
		c.mu.Lock()
		c.failure = e
		c.mu.Unlock()
	}
	return cause
}

// bodyError returns the reason for which the body was not read to its end, or err.
func (c *Conn) bodyError(err error) error {
	if c == nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return err
}

// takeLingering reports whether another refused connection may linger. giveLingering must
// follow then.
func (in *Intake) takeLingering() bool {
	select {
	case in.lingering <- struct{}{}:
		return true
	default:
		return false
	}
}

func (in *Intake) giveLingering() { <-in.lingering }

// linger ends the sending side of a refused connection and discards what the caller still
// sends.
func linger(tcp *net.TCPConn) {
	if tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	var buf [4 << 10]byte
	for left := lingerBytes; left > 0; {
		n, err := tcp.Read(buf[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// writeRefusal writes a response to a request whose header was not read to its end.
func writeRefusal(w net.Conn, e *waxfleet.Error) {
	status := e.Code().Status()
	body := fmt.Sprintf(`{"error":{"code":%d,"name":%q,"message":%q,"not-run":true}}`, int(e.Code()), e.Code().Name(), e.Message())
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + strconv.FormatFloat(RetryAfter().Duration().Seconds(), 'f', 3, 64) + "\r\n"
	}
	// The connection is closed next, so that an error changes nothing.
	_ = w.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), retryAfter, body)
}

// RetryAfter returns the delay after which a caller may repeat a request that was refused
// because an account is full. The delays are spread, so that the callers don't return
// together.
func RetryAfter() waxfleet.Millis {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter+1)
}
