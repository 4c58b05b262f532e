package waxservice

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/oklog/ulid/v2"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

const (
	// DefaultAddress selects a free port of the loopback interface.
	DefaultAddress = "127.0.0.1:0"

	// restartDelay is how long a crashed service refuses connections.
	restartDelay waxfleet.Millis = 1_000
)

// Options configures a Service.
type Options struct {
	ID            string
	FailureDomain string
	// Address is "ip:port"; empty means DefaultAddress.
	Address string
	// Seed determines which requests are affected by faults.
	Seed uint64
	// ProcessingDelay is the processing time of a request.
	ProcessingDelay waxfleet.Millis
	// Clock is nil for the system clock.
	Clock *waxfleet.Clock
}

// Faults selects the active faults. Shares are from 0 to 1.
type Faults struct {
	// CrashDuringRequest is the share of requests during which the service crashes, after
	// the execution was counted and before the response.
	CrashDuringRequest float64 `json:"die-in-call"`
	// PoisonMarker makes the service crash on each request whose body contains it.
	PoisonMarker string `json:"poison-marker"`
	// TruncateResponses is the share of responses that end in the middle of the body.
	TruncateResponses float64 `json:"cut-answers"`
	// MismatchResponses is the share of responses with the ID of another request.
	MismatchResponses float64 `json:"cross-answers"`
	// ResponseDelay is the delay of each response after the execution.
	ResponseDelay waxfleet.Millis `json:"late-by"`
	// SilentConnections makes the connections that are open when the fault is set go silent
	// permanently: they stay open, but transfer no data. New connections are not affected.
	SilentConnections bool `json:"silent-connections"`
	// Leaving is reported by GET /load. The service still accepts requests.
	Leaving bool `json:"leaving"`
	// Frozen stops all responses while connections stay open.
	Frozen bool `json:"frozen"`
	// RejectRequests rejects requests with 503 without executing them.
	RejectRequests bool `json:"refuse"`
}

// Service is a fake server of a plain service. It stops when the context of New ends.
type Service struct {
	opts       Options
	clock      *waxfleet.Clock
	server     *waxserve.Server
	freezeGate *waxserve.FreezeGate
	ctx        context.Context

	mu            sync.Mutex
	rng           *rand.Rand
	faults        Faults
	incarnation   int
	down          bool
	inFlight      int
	lastRequestID string
	runCounts     map[string]int
	history       []Event
}

// New starts a service. It stops when ctx ends.
//
// Errors: the service can't listen on Options.Address.
func New(ctx context.Context, opts Options) (*Service, error) {
	if opts.Address == "" {
		opts.Address = DefaultAddress
	}
	if opts.Clock == nil {
		opts.Clock = waxfleet.NewClock()
	}
	s := &Service{
		opts:        opts,
		clock:       opts.Clock,
		freezeGate:  &waxserve.FreezeGate{},
		ctx:         ctx,
		rng:         rand.New(rand.NewPCG(opts.Seed, 0)),
		incarnation: 1,
		runCounts:   map[string]int{},
	}
	var err error
	s.server, err = waxserve.New(ctx, opts.Address, s.handler())
	if err != nil {
		return nil, err
	}
	return s, nil
}

// ID returns Options.ID.
func (s *Service) ID() string { return s.opts.ID }

// FailureDomain returns Options.FailureDomain.
func (s *Service) FailureDomain() string { return s.opts.FailureDomain }

// Address returns the listen address as "ip:port".
func (s *Service) Address() string { return s.server.Address() }

// InFlight returns the number of requests being executed.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.freezeGate.SetFrozen(f.Frozen)
	if f.SilentConnections {
		s.server.Silence(0)
	}
}

// Kill stops the service: all connections are reset and new ones are refused until
// Restart. The history and the counts of executions are kept.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

// Restart starts a new incarnation. It kills the service first if it is running.
//
// Errors: the service can't listen on its address again.
func (s *Service) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.stopLocked()
	}
	return s.startLocked()
}

func (s *Service) stopLocked() {
	s.incarnation++
	s.down = true
	s.inFlight = 0
	s.server.Down()
}

func (s *Service) startLocked() error {
	s.down = false
	return s.server.Up()
}

// crash stops the service and restarts it after restartDelay.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
	stopped := s.incarnation
	go func() {
		if s.clock.Sleep(s.ctx, restartDelay) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down && s.incarnation == stopped {
			_ = s.startLocked()
		}
	}()
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// shouldInject decides at random whether a fault with this share is injected.
func (s *Service) shouldInject(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

func (s *Service) incarnationEnded(incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.incarnation != incarnation
}

func newRequestID() string { return ulid.Make().String() }

func (s *Service) incarnationID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.ID + "-" + strconv.Itoa(s.incarnation)
}
