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
	// DefaultAddress takes a free port of the loopback interface.
	DefaultAddress = "127.0.0.1:0"

	// downTime is the time that a dead service refuses connections.
	downTime waxfleet.Millis = 1_000
)

// Options are the settings of a Service.
type Options struct {
	ID            string
	FailureDomain string
	// Address is "ip:port"; empty is DefaultAddress.
	Address string
	// Seed decides which calls the faults strike.
	Seed uint64
	// Delay is the time that a call takes.
	Delay waxfleet.Millis
	// Clock is the time; nil is the system's clock.
	Clock *waxfleet.Clock
}

// Faults are what is wrong with the service now. Shares are between 0 and 1.
type Faults struct {
	// DieInCall is the share of calls in which the service dies after the run
	// was counted and before the answer.
	DieInCall float64 `json:"die-in-call"`
	// PoisonMarker makes each call die whose body contains it.
	PoisonMarker string `json:"poison-marker"`
	// CutAnswers is the share of answers that are cut in the middle of the body.
	CutAnswers float64 `json:"cut-answers"`
	// CrossAnswers is the share of answers with the request id of another call.
	CrossAnswers float64 `json:"cross-answers"`
	// LateBy delays the answer after the run.
	LateBy waxfleet.Millis `json:"late-by"`
	// SilentConnections, at the time of the switch, makes the open connections
	// go silent for good. New connections work.
	SilentConnections bool `json:"silent-connections"`
	// Leaving is reported by GET /load. The service still takes calls.
	Leaving bool `json:"leaving"`
	// Frozen stops all answers while connections stay open.
	Frozen bool `json:"frozen"`
	// Refuse answers calls with 503, without running them.
	Refuse bool `json:"refuse"`
}

// Service is a running stand-in. It ends with its context.
type Service struct {
	opts    Options
	clock   *waxfleet.Clock
	server  *waxserve.Server
	freezer *waxserve.Freezer
	ctx     context.Context

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	incarnation int
	down        bool
	inFlight    int
	lastID      string
	runs        map[string]int
	history     []Event
}

// New starts a service.
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
		freezer:     &waxserve.Freezer{},
		ctx:         ctx,
		random:      rand.New(rand.NewPCG(opts.Seed, 0)),
		incarnation: 1,
		runs:        map[string]int{},
	}
	var err error
	s.server, err = waxserve.New(ctx, opts.Address, s.handler())
	if err != nil {
		return nil, err
	}
	return s, nil
}

// ID returns the id of the options.
func (s *Service) ID() string { return s.opts.ID }

// FailureDomain returns the failure domain of the options.
func (s *Service) FailureDomain() string { return s.opts.FailureDomain }

// Address returns "ip:port".
func (s *Service) Address() string { return s.server.Address() }

// InFlight returns the number of calls that run now.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.freezer.Set(f.Frozen)
	if f.SilentConnections {
		s.server.Silence(0)
	}
}

// Kill ends the service: all connections are reset and new ones are refused
// until Restart. What it recorded stays.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dieLocked()
}

// Restart brings up a new incarnation, after a Kill if there was none.
func (s *Service) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.dieLocked()
	}
	return s.reviveLocked()
}

func (s *Service) dieLocked() {
	s.incarnation++
	s.down = true
	s.inFlight = 0
	s.server.Down()
}

func (s *Service) reviveLocked() error {
	s.down = false
	return s.server.Up()
}

// crash is a death from which the service returns by itself.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dieLocked()
	died := s.incarnation
	go func() {
		if s.clock.Sleep(s.ctx, downTime) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down && s.incarnation == died {
			_ = s.reviveLocked()
		}
	}()
}

func (s *Service) fault() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// hits decides by the seed whether a fault with this share strikes.
func (s *Service) hits(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

func (s *Service) ended(incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.incarnation != incarnation
}

func newRequestID() string { return ulid.Make().String() }

func (s *Service) incarnationName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.ID + "-" + strconv.Itoa(s.incarnation)
}
