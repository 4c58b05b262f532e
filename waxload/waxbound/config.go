package waxbound

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// configHarness records the configurations of routers and the edits of
// operators.
type configHarness struct {
	*harness
	partition    *Partition
	peers        *waxmember.PeerClients
	sampling     sync.WaitGroup
	stopSampling context.CancelFunc
	samplingCtx  context.Context

	mu              sync.Mutex
	samples         []Sample
	processes       int
	operations      []porcupine.Operation
	unknownOutcomes int
}

// newConfigHarness starts a fleet whose failure domains can be isolated, and
// samples its routers.
func newConfigHarness(ctx context.Context, hooks func(id string, h *waxnode.Hooks)) (*configHarness, error) {
	c := &configHarness{partition: NewPartition()}
	opts := waxembed.DefaultOptions()
	opts.SeedPeers = true
	opts.Hooks = func(id, failureDomain string) waxnode.Hooks {
		h := waxnode.Hooks{Dial: c.partition.Dial(failureDomain)}
		if hooks != nil {
			hooks(id, &h)
		}
		return h
	}
	var err error
	if c.harness, err = newHarness(ctx, opts); err != nil {
		return nil, err
	}
	samplingCtx, stopSampling := context.WithCancel(ctx)
	c.samplingCtx, c.stopSampling = samplingCtx, stopSampling
	c.peers = waxmember.NewPeerClients(ctx, nil, &waxmember.ByteCounter{})
	for _, router := range c.Routers() {
		c.startSampling(samplingCtx, router)
	}
	return c, nil
}

// sampleInterval is the polling interval for a router's configuration version;
// every fifth poll fetches the content too.
const sampleInterval waxfleet.Millis = 20

// startSampling polls one router process in the background until ctx is cancelled.
func (c *configHarness) startSampling(ctx context.Context, router *waxembed.Router) {
	c.partition.Register(router.Node.PeerAddress(), router.FailureDomain)
	c.processes++
	process := fmt.Sprintf("%s#%d", router.ID, c.processes)
	peer := c.peers.Control(router.Node.PeerAddress())
	c.sampling.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			s := Sample{Process: process, Version: router.Node.ConfigVersion()}
			s.At = c.clock.Now()
			c.addSample(s)
			if i%5 == 0 {
				c.sampleContent(ctx, peer, process)
			}
			if c.clock.Sleep(ctx, sampleInterval) != nil {
				return
			}
		}
	})
}

// sampleContent fetches the configuration of a router process and records it as a
// sample.
func (c *configHarness) sampleContent(ctx context.Context, peer waxwireconnect.PeerClient, process string) {
	reply, err := peer.FetchConfig(ctx, connect.NewRequest(&waxwire.FetchConfigRequest{}))
	if err != nil || reply.Msg.GetVersion() == 0 {
		return
	}
	c.addSample(Sample{
		At:       c.clock.Now(),
		Process:  process,
		Version:  reply.Msg.GetVersion(),
		Head:     reply.Msg.GetHead(),
		Sections: reply.Msg.GetSections(),
	})
}

func (c *configHarness) addSample(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
}

// runOperator alternately edits and reads a section until ctx is cancelled.
func (c *configHarness) runOperator(ctx context.Context, number int, section string) {
	client := waxobject.NewClient("http://"+c.Platform().Address(), fmt.Sprintf("operator-%d", number), &http.Client{})
	editor := waxconfig.NewEditor(client, c.clock, waxembed.DefaultOptions().Log)
	for round := 0; ctx.Err() == nil; round++ {
		value := fmt.Sprintf(`{"spare-%d-%d":{"state":"out"}}`, number, round)
		if section == waxconfig.SectionLimits {
			value = fmt.Sprintf(`{"queue-length":%d}`, 1_000*number+round+64)
		}
		c.recordEdit(editor, number, section, value)
		c.recordRead(editor, number, section)
		if c.clock.Sleep(ctx, 120) != nil {
			return
		}
	}
}

func (c *configHarness) recordEdit(e *waxconfig.Editor, number int, section, value string) {
	calledAt := c.clock.Now()
	out := EditOutput{}
	version, err := e.Edit(c.ctx, section, func(current []byte) ([]byte, error) {
		out.Base = string(current)
		return []byte(value), nil
	})
	out.Code, out.Version = waxfleet.CodeOf(err), version
	var conflict *waxconfig.ConflictError
	if errors.As(err, &conflict) {
		out.Base, out.Version = string(conflict.Current()), conflict.CurrentVersion()
	}
	c.addOperation(number, calledAt, EditInput{Section: section, Value: value}, out)
}

func (c *configHarness) recordRead(e *waxconfig.Editor, number int, section string) {
	calledAt := c.clock.Now()
	snapshot, err := e.Read(c.ctx)
	if err != nil {
		return
	}
	raw, _ := snapshot.Section(section)
	c.addOperation(number, calledAt, EditInput{Section: section, Read: true}, EditOutput{Version: snapshot.Version(), Base: string(raw)})
}

// unknownClientBase is the base of the client IDs for operations with unknown
// outcome. Each operation has its own client ID, because it may take effect at any
// later time.
const unknownClientBase = 100

func (c *configHarness) addOperation(number int, calledAt waxfleet.Millis, in EditInput, out EditOutput) {
	c.mu.Lock()
	defer c.mu.Unlock()
	returned := int64(c.clock.Now())
	if out.Code == waxfleet.CodePlatformUnknown {
		c.unknownOutcomes++
		number, returned = unknownClientBase+c.unknownOutcomes, math.MaxInt64
	}
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: number,
		Input:    in,
		Call:     int64(calledAt),
		Output:   out,
		Return:   returned,
	})
}

// configScenario is a test scenario with concurrent operators.
type configScenario struct {
	name string
	// faults injects faults while the operators edit, and returns the isolations.
	faults func(c *configHarness) []Isolation
}

func platformFaults(f waxplatform.Faults) func(*configHarness) []Isolation {
	return func(c *configHarness) []Isolation {
		c.setFaults(f)
		c.sleep(4_000)
		c.setFaults(waxplatform.Faults{})
		return nil
	}
}

func outageThenRestart(c *configHarness) []Isolation {
	c.sleep(1_500)
	c.setFaults(waxplatform.Faults{Outage: true})
	c.router("router-6").Kill()
	c.sleep(300)
	c.startSampling(c.samplingCtx, c.restart("router-6"))
	c.sleep(3_000)
	c.setFaults(waxplatform.Faults{LoseResponses: 0.3})
	c.sleep(1_500)
	return nil
}

// isolateDomain isolates the failure domain of router-2 and router-6 from the
// others and from the platform.
func isolateDomain(duration waxfleet.Millis) func(c *configHarness) []Isolation {
	return func(c *configHarness) []Isolation {
		c.sleep(1_000)
		start := c.clock.Now()
		c.partition.SetIsolated(isolatedDomain, true)
		c.setFaults(waxplatform.Faults{PartitionedClients: []string{"router-2", "router-6"}})
		c.sleep(duration)
		c.partition.SetIsolated(isolatedDomain, false)
		c.setFaults(waxplatform.Faults{})
		end := c.clock.Now()
		return []Isolation{
			{Process: "router-2#2", Start: start, End: end},
			{Process: "router-6#6", Start: start, End: end},
		}
	}
}

const isolatedDomain = "abertawe"

func configScenarios() []configScenario {
	return []configScenario{
		{name: "race", faults: platformFaults(waxplatform.Faults{})},
		{name: "lost-answers", faults: platformFaults(waxplatform.Faults{LoseResponses: 0.3})},
		{name: "slow-and-lost-answers", faults: platformFaults(waxplatform.Faults{RequestDelay: 150, LoseResponses: 0.3})},
		{name: "some-cut-off-and-lost-answers", faults: platformFaults(waxplatform.Faults{
			LoseResponses:      0.3,
			PartitionedClients: []string{"router-1", "router-4", "router-7"},
		})},
		{name: "restart-in-outage", faults: outageThenRestart},
		{name: "domain-cut-off", faults: isolateDomain(4_000)},
	}
}

// runConfigScenario runs two operators on one section and one on another under
// faults. Then it waits, for ConfigApplyBound and 500 ms at most, until all routers
// have applied the last version, and stops the sampling.
func runConfigScenario(c *configHarness, scenario configScenario) []Isolation {
	ctx, cancel := context.WithCancel(c.ctx)
	var operators sync.WaitGroup
	for number, section := range []string{waxconfig.SectionLimits, waxconfig.SectionLimits, waxconfig.SectionFailureDomains} {
		operators.Go(func() { c.runOperator(ctx, number+1, section) })
	}
	isolations := scenario.faults(c)
	cancel()
	operators.Wait()
	c.setFaults(waxplatform.Faults{})
	end := c.clock.Now() + ConfigApplyBound + 500
	for !c.allApplied() && c.clock.Now() < end {
		c.sleep(sampleInterval)
	}
	c.sleep(5 * sampleInterval)
	c.stopSampling()
	c.sampling.Wait()
	slices.SortStableFunc(c.samples, func(a, b Sample) int { return int(a.At - b.At) })
	return isolations
}

// allApplied reports whether all routers have applied the last accepted version.
func (c *configHarness) allApplied() bool {
	last := uint64(0)
	for version := range AcceptanceTimes(c.Platform().History()) {
		last = max(last, version)
	}
	return !slices.ContainsFunc(c.Routers(), func(r *waxembed.Router) bool { return r.Node.ConfigVersion() < last })
}

// editsLinearizable reports whether the operations on the edited sections are
// linearizable.
func (c *configHarness) editsLinearizable() bool {
	for _, section := range []string{waxconfig.SectionLimits, waxconfig.SectionFailureDomains} {
		start, err := waxconfig.DefaultSection(section)
		c.recordError(err)
		if !EditsLinearizable(c.operations, section, string(start)) {
			return false
		}
	}
	return true
}

// staleHeadStore is a store whose watches return the content of the first head
// that they read, with the latest version.
type staleHeadStore struct {
	waxfleet.ObjectStore
	mu    sync.Mutex
	first []byte
}

func (s *staleHeadStore) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	o, err := s.ObjectStore.Watch(ctx, kind, name, after)
	if err != nil || kind != waxfleet.ObjectKindConfig {
		return o, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = o.Value()
	}
	return waxfleet.NewObject(kind, name, s.first, o.Version()), nil
}

// expressDeadline is the deadline of the price tier express (section 8).
const expressDeadline waxfleet.Millis = 10_000
