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

// configRig records what routers hold and what operators do.
type configRig struct {
	*rig
	partition *Partition
	links     *waxmember.Links
	sampling  sync.WaitGroup
	quitAll   context.CancelFunc
	sampled   context.Context

	mu      sync.Mutex
	samples []Sample
	started int
	ops     []porcupine.Operation
	unknown int
}

// newConfigRig starts a fleet whose links can be cut, and samples its routers.
func newConfigRig(ctx context.Context, hooks func(id string, h *waxnode.Hooks)) (*configRig, error) {
	c := &configRig{partition: NewPartition()}
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
	if c.rig, err = newRig(ctx, opts); err != nil {
		return nil, err
	}
	sampled, quit := context.WithCancel(ctx)
	c.sampled, c.quitAll = sampled, quit
	c.links = waxmember.NewLinks(ctx, nil, &waxmember.ByteCounter{})
	for _, router := range c.Routers() {
		c.sample(sampled, router)
	}
	return c, nil
}

// sampleInterval is the time between looks at a router's version; each fifth
// look fetches the content.
const sampleInterval waxfleet.Millis = 20

// sample follows one process until ctx ends.
func (c *configRig) sample(ctx context.Context, router *waxembed.Router) {
	c.partition.Locate(router.Node.PeerAddress(), router.FailureDomain)
	c.started++
	process := fmt.Sprintf("%s#%d", router.ID, c.started)
	peer := c.links.Control(router.Node.PeerAddress())
	c.sampling.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			s := Sample{Process: process, Version: router.Node.ConfigVersion()}
			s.At = c.clock.Now()
			c.keep(s)
			if i%5 == 0 {
				c.fetch(ctx, peer, process)
			}
			if c.clock.Sleep(ctx, sampleInterval) != nil {
				return
			}
		}
	})
}

func (c *configRig) fetch(ctx context.Context, peer waxwireconnect.PeerClient, process string) {
	reply, err := peer.FetchConfig(ctx, connect.NewRequest(&waxwire.FetchConfigRequest{}))
	if err != nil || reply.Msg.GetVersion() == 0 {
		return
	}
	c.keep(Sample{At: c.clock.Now(), Process: process, Version: reply.Msg.GetVersion(), Head: reply.Msg.GetHead(), Sections: reply.Msg.GetSections()})
}

func (c *configRig) keep(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
}

// operator edits a section again and again until ctx ends, and reads it.
func (c *configRig) operator(ctx context.Context, number int, section string) {
	client := waxobject.NewClient("http://"+c.Platform().Address(), fmt.Sprintf("operator-%d", number), &http.Client{})
	editor := waxconfig.NewEditor(client, c.clock, waxembed.DefaultOptions().Log)
	for round := 0; ctx.Err() == nil; round++ {
		value := fmt.Sprintf(`{"spare-%d-%d":{"state":"out"}}`, number, round)
		if section == waxconfig.SectionLimits {
			value = fmt.Sprintf(`{"queue-length":%d}`, 1_000*number+round+64)
		}
		c.edit(editor, number, section, value)
		c.read(editor, number, section)
		if c.clock.Sleep(ctx, 120) != nil {
			return
		}
	}
}

func (c *configRig) edit(e *waxconfig.Editor, number int, section, value string) {
	call := c.clock.Now()
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
	c.operation(number, call, EditInput{Section: section, Value: value}, out)
}

func (c *configRig) read(e *waxconfig.Editor, number int, section string) {
	call := c.clock.Now()
	snapshot, err := e.Read(c.ctx)
	if err != nil {
		return
	}
	raw, _ := snapshot.Section(section)
	c.operation(number, call, EditInput{Section: section, Read: true}, EditOutput{Version: snapshot.Version(), Base: string(raw)})
}

// firstUnknown numbers operations of unknown outcome as clients of their own,
// which may take effect at any later time.
const firstUnknown = 100

func (c *configRig) operation(number int, call waxfleet.Millis, in EditInput, out EditOutput) {
	c.mu.Lock()
	defer c.mu.Unlock()
	returned := int64(c.clock.Now())
	if out.Code == waxfleet.CodePlatformUnknown {
		c.unknown++
		number, returned = firstUnknown+c.unknown, math.MaxInt64
	}
	c.ops = append(c.ops, porcupine.Operation{ClientId: number, Input: in, Call: int64(call), Output: out, Return: returned})
}

// configRun is one run with racing operators.
type configRun struct {
	name string
	// faults runs while the operators edit and returns the cut links.
	faults func(c *configRig) []Links
}

func platformFaults(f waxplatform.Faults) func(*configRig) []Links {
	return func(c *configRig) []Links {
		c.faults(f)
		c.sleep(4_000)
		c.faults(waxplatform.Faults{})
		return nil
	}
}

func outageThenRestart(c *configRig) []Links {
	c.sleep(1_500)
	c.faults(waxplatform.Faults{Outage: true})
	c.router("router-6").Kill()
	c.sleep(300)
	c.sample(c.sampled, c.restart("router-6"))
	c.sleep(3_000)
	c.faults(waxplatform.Faults{LoseAnswers: 0.3})
	c.sleep(1_500)
	return nil
}

// cutDomain cuts the failure domain of router-2 and router-6 off from the others
// and from the platform.
func cutDomain(lasts waxfleet.Millis) func(c *configRig) []Links {
	return func(c *configRig) []Links {
		c.sleep(1_000)
		cut := c.clock.Now()
		c.partition.Set(cutOffDomain, true)
		c.faults(waxplatform.Faults{CutFrom: []string{"router-2", "router-6"}})
		c.sleep(lasts)
		c.partition.Set(cutOffDomain, false)
		c.faults(waxplatform.Faults{})
		healed := c.clock.Now()
		return []Links{
			{Process: "router-2#2", Cut: cut, Healed: healed},
			{Process: "router-6#6", Cut: cut, Healed: healed},
		}
	}
}

const cutOffDomain = "abertawe"

func configRuns() []configRun {
	return []configRun{
		{name: "race", faults: platformFaults(waxplatform.Faults{})},
		{name: "lost-answers", faults: platformFaults(waxplatform.Faults{LoseAnswers: 0.3})},
		{name: "slow-and-lost-answers", faults: platformFaults(waxplatform.Faults{SlowBy: 150, LoseAnswers: 0.3})},
		{name: "some-cut-off-and-lost-answers", faults: platformFaults(waxplatform.Faults{LoseAnswers: 0.3, CutFrom: []string{"router-1", "router-4", "router-7"}})},
		{name: "restart-in-outage", faults: outageThenRestart},
		{name: "domain-cut-off", faults: cutDomain(4_000)},
	}
}

// runConfig runs operators on two sections, two of them on the same one, under
// faults, and waits until the last version is in force.
func runConfig(c *configRig, run configRun) []Links {
	ctx, cancel := context.WithCancel(c.ctx)
	var operators sync.WaitGroup
	for number, section := range []string{waxconfig.SectionLimits, waxconfig.SectionLimits, waxconfig.SectionFailureDomains} {
		operators.Go(func() { c.operator(ctx, number+1, section) })
	}
	cuts := run.faults(c)
	cancel()
	operators.Wait()
	c.faults(waxplatform.Faults{})
	limit := c.clock.Now() + ConfigBound + 500
	for !c.inForce() && c.clock.Now() < limit {
		c.sleep(sampleInterval)
	}
	c.sleep(5 * sampleInterval)
	c.quitAll()
	c.sampling.Wait()
	slices.SortStableFunc(c.samples, func(a, b Sample) int { return int(a.At - b.At) })
	return cuts
}

func (c *configRig) inForce() bool {
	last := uint64(0)
	for version := range Accepted(c.Platform().History()) {
		last = max(last, version)
	}
	return !slices.ContainsFunc(c.Routers(), func(r *waxembed.Router) bool { return r.Node.ConfigVersion() < last })
}

// checkEdits checks the operators' histories of the edited sections.
func (c *configRig) checkEdits() bool {
	for _, section := range []string{waxconfig.SectionLimits, waxconfig.SectionFailureDomains} {
		start, err := waxconfig.DefaultSection(section)
		c.must(err)
		if !CheckEdits(c.ops, section, string(start)) {
			return false
		}
	}
	return true
}

// staleHead is a store whose watches show the first head that they saw under the
// newest version.
type staleHead struct {
	waxfleet.ObjectStore
	mu    sync.Mutex
	first []byte
}

func (s *staleHead) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
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

// expressDeadline is the deadline of the tier express (section 8).
const expressDeadline waxfleet.Millis = 10_000
