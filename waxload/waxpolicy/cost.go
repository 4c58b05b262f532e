package waxpolicy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcost"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxserverload"
)

// CostPolicy names a choice of the engine for a prompt by instances that see each other's
// requests late.
type CostPolicy string

// Choices. CostCounts is that of waxpick without pace and work left, CostLearned the one with
// what instances learn of them, and CostOracle the one with exact counts, paces and lengths of
// responses.
const (
	CostRandom     CostPolicy = "random"
	CostLeastOfTwo CostPolicy = "least-of-two"
	CostCounts     CostPolicy = "counts"
	CostLearned    CostPolicy = "cost"
	CostOracle     CostPolicy = "oracle"
)

// CostPolicies returns all choices in the order of the table.
func CostPolicies() []CostPolicy {
	return []CostPolicy{CostRandom, CostLeastOfTwo, CostCounts, CostLearned, CostOracle}
}

// CostScenario names what happens to the engines and the callers.
type CostScenario string

// Scenarios. In all of them the pace of an engine varies by a fifth ten times a second.
const (
	// CostCalm has nothing else.
	CostCalm CostScenario = "calm"
	// CostUneven has ten engines at a time that take three times as long, others every 10 s.
	CostUneven CostScenario = "uneven"
	// CostBurst has eight times the prompts of the first kind for 6 s, on top of CostUneven.
	CostBurst CostScenario = "burst"
	// CostBusy has six times as many of all prompts, on top of CostUneven.
	CostBusy CostScenario = "busy"
)

// CostScenarios returns all scenarios.
func CostScenarios() []CostScenario {
	return []CostScenario{CostCalm, CostUneven, CostBurst, CostBusy}
}

const (
	costEngines   = 60
	costInstances = 84
	costDomains   = 4
	costSlots     = 64
	// costStep is the time between two events of a response, in ms, and costRead the prompt
	// tokens that are read in a ms.
	costStep = 3.03
	costRead = 92.1
	// costDuration is the time of arrivals, and costWarmup the time that is not counted.
	costDuration waxfleet.Millis = 40_000
	costWarmup   waxfleet.Millis = 5_000
	// costViewInterval is the interval at which instances hear from each other.
	costViewInterval waxfleet.Millis = 500
	costPaceInterval waxfleet.Millis = 100
	costSlowInterval waxfleet.Millis = 10_000
	costSlowEngines                  = 10
	costSlowPace                     = 3.0
	costBurstStart   waxfleet.Millis = 20_000
	costBurstLength  waxfleet.Millis = 6_000
	costBurstFactor                  = 8
	costBusyFactor                   = 6
	costWorkspaces                   = 24
)

// costKind is a kind of prompts.
type costKind struct {
	name      string
	perSecond float64
	shared    int
	own       int
	prompts   int
	// output is the median length of the responses in tokens.
	output    float64
	objective waxfleet.Millis
}

// costKinds are those of the first customer of the page on hard load. The page gives no
// lengths of responses; these are assumed.
var costKinds = []costKind{
	{"long", 148, 8_620, 580, 24, 40, 1_000},
	{"middle", 313, 2_041, 360, 48, 80, 400},
	{"chat", 61.6, 603, 110, 200, 250, 400},
}

// costJob is one request.
type costJob struct {
	kind      *costKind
	prompt    int
	subject   waxcost.Subject
	output    float64
	expected  float64
	instance  int
	engine    *costEngine
	arrivedAt float64
	tokens    int
	firstAt   float64
	endAt     float64
}

// costEngine is an engine that reads one prompt at a time and generates for all slots at once.
type costEngine struct {
	index   int
	id      string
	domain  string
	pace    float64
	slow    bool
	running int
	waiting []*costJob
	// jobs are the requests in flight. Their order is fixed, because sums depend on it.
	jobs       []*costJob
	pending    int
	readFreeAt float64
	cached     map[int]bool
}

// costView is what instances know of an engine since they heard from each other last.
type costView struct {
	load, pending int
	work, pace    float64
	// byInstance holds the part of each instance: load, pending tokens and work.
	byInstance [costInstances]costShare
}

type costShare struct {
	load, pending int
	work          float64
}

// costSimulation is one run.
type costSimulation struct {
	policy   CostPolicy
	scenario CostScenario
	rng      *rand.Rand
	// policyRng draws what the policy draws, so that all policies get the same requests.
	policyRng *rand.Rand
	now       float64
	seq       uint64
	events    eventHeap
	clock     *waxfleet.Clock
	engines   []*costEngine
	views     []costView
	own       [][]costShare
	loads     *waxserverload.Loads
	costs     *waxcost.Estimator

	firsts    []float64
	inTime    int
	requests  int
	above     int
	readAgain int
}

// CostOutcome is the result of one run.
type CostOutcome struct {
	Policy   CostPolicy
	Scenario CostScenario
	Requests int
	// FirstP50, FirstP95 and FirstP99 are times to the first event in ms.
	FirstP50, FirstP95, FirstP99 float64
	// InTime is the share of the requests whose first event came within the objective.
	InTime float64
	// AboveBound is the share of the requests that reached an engine with more than 2 x the
	// mean + 3 requests.
	AboveBound float64
	// SharedRead is the number of shared prompt tokens that engines read, in millions.
	SharedRead float64
}

// RunCost simulates a scenario under one policy. Equal arguments give an equal outcome.
func RunCost(policy CostPolicy, scenario CostScenario, seed uint64) CostOutcome {
	s := &costSimulation{
		policy: policy, scenario: scenario, rng: rand.New(rand.NewPCG(seed, 1)), policyRng: rand.New(rand.NewPCG(seed, 2)),
		clock: waxfleet.NewManualClock(1), views: make([]costView, costEngines), costs: waxcost.NewEstimator(),
	}
	s.loads = waxserverload.New(s.clock)
	for i := range costEngines {
		s.engines = append(s.engines, &costEngine{
			index: i, id: engineName(i), domain: domainName(i % costDomains), pace: 1, cached: map[int]bool{},
		})
		s.views[i].pace = 1
	}
	s.own = make([][]costShare, costInstances)
	for i := range s.own {
		s.own[i] = make([]costShare, costEngines)
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.clock.Advance(e.at - waxfleet.Millis(s.now*1_000)/1_000)
		s.now = max(s.now, float64(e.at))
		e.run()
	}
	return s.outcome()
}

// at schedules run. Times are rounded up to a ms.
func (s *costSimulation) at(t float64, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: waxfleet.Millis(math.Ceil(t)), seq: s.seq, run: run})
}

// schedule schedules all arrivals and the changes of the engines.
func (s *costSimulation) schedule() {
	for k := range costKinds {
		kind := &costKinds[k]
		for t := 0.0; t < float64(costDuration); {
			rate := kind.perSecond
			if s.scenario == CostBusy {
				rate *= costBusyFactor
			}
			if s.scenario == CostBurst && k == 0 && t >= float64(costBurstStart) && t < float64(costBurstStart+costBurstLength) {
				rate *= costBurstFactor
			}
			t += s.rng.ExpFloat64() * 1_000 / rate
			workspace := s.rng.IntN(costWorkspaces)
			j := &costJob{
				kind: kind, prompt: 1_000*k + s.rng.IntN(kind.prompts), instance: s.rng.IntN(costInstances), arrivedAt: t,
				// Workspaces differ: responses of the last one are four times as long as the first one's.
				output:  max(1, kind.output*(0.5+1.5*float64(workspace)/costWorkspaces)*math.Exp(0.6*s.rng.NormFloat64())),
				subject: waxcost.Subject{Service: "s", Route: kind.name, Workspace: fmt.Sprint(workspace)},
			}
			s.at(t, func() { s.place(j) })
		}
	}
	for t := waxfleet.Millis(0); t < costDuration; t += costPaceInterval {
		changes := t%costSlowInterval == 0 && s.scenario != CostCalm
		s.at(float64(t), func() { s.changePaces(changes) })
	}
	for t := waxfleet.Millis(0); t < costDuration; t += costViewInterval {
		s.at(float64(t), s.exchange)
	}
}

// changePaces draws the paces. slow draws the slow engines anew.
func (s *costSimulation) changePaces(slow bool) {
	if slow {
		for i, e := range s.rng.Perm(costEngines) {
			s.engines[e].slow = i < costSlowEngines
		}
	}
	for _, e := range s.engines {
		e.pace = 0.8 + 0.4*s.rng.Float64()
		if e.slow {
			e.pace *= costSlowPace
		}
	}
}

// exchange makes all instances know what the others have in flight now.
func (s *costSimulation) exchange() {
	for i, e := range s.engines {
		v := costView{load: len(e.jobs), pending: e.pending, pace: s.loads.Pace(uint32(i + 1))}
		for _, j := range e.jobs {
			work := s.remaining(j)
			v.work += work
			v.byInstance[j.instance].work += work
			s.own[j.instance][i].work = 0
		}
		for n := range costInstances {
			v.byInstance[n].load, v.byInstance[n].pending = s.own[n][i].load, s.own[n][i].pending
			s.own[n][i].work = v.byInstance[n].work
		}
		s.views[i] = v
	}
}

// remaining returns the expected rest of a response.
func (s *costSimulation) remaining(j *costJob) float64 {
	done := 0.0
	if j.firstAt > 0 && s.now > j.firstAt && j.endAt > j.firstAt {
		done = j.output * (s.now - j.firstAt) / (j.endAt - j.firstAt)
	}
	if s.policy == CostOracle {
		return max(j.output-done, 0)
	}
	return max(s.costs.Remaining(j.subject, j.expected, done, 0), 1)
}

// candidates returns what the instance of a job knows of the engines.
func (s *costSimulation) candidates(j *costJob) []waxpick.Candidate {
	out := make([]waxpick.Candidate, costEngines)
	for i, e := range s.engines {
		v, own := &s.views[i], s.own[j.instance][i]
		before := v.byInstance[j.instance]
		c := waxpick.Candidate{
			ID: e.id, FailureDomain: e.domain, Slots: costSlots,
			Load: v.load - before.load + own.load, PendingTokens: v.pending - before.pending + own.pending,
		}
		if s.policy == CostOracle {
			c.Load, c.PendingTokens = len(e.jobs), e.pending
		}
		if e.cached[j.prompt] {
			c.CachedTokens = j.kind.shared
		}
		switch s.policy {
		case CostLearned:
			c.Pace, c.WorkLeft = v.pace, v.work-before.work+own.work
		case CostOracle:
			c.Pace = e.pace
			for _, other := range e.jobs {
				c.WorkLeft += s.remaining(other)
			}
		}
		out[i] = c
	}
	return out
}

// choose returns the engine for a job.
func (s *costSimulation) choose(j *costJob) *costEngine {
	candidates := s.candidates(j)
	switch s.policy {
	case CostRandom:
		return s.engines[s.policyRng.IntN(costEngines)]
	case CostLeastOfTwo:
		a, b := s.policyRng.IntN(costEngines), s.policyRng.IntN(costEngines)
		if candidates[b].Load < candidates[a].Load {
			a = b
		}
		return s.engines[a]
	}
	p := waxpick.Prompt{
		FailureDomain: domainName(j.instance % costDomains), Hash: uint64(j.prompt) * 0x9E3779B97F4A7C15,
		SharedTokens: j.kind.shared, OwnTokens: j.kind.own,
	}
	id := waxpick.ForPrompt(p, candidates, nil).ID
	return s.engines[slices.IndexFunc(s.engines, func(e *costEngine) bool { return e.id == id })]
}

// place sends a job to an engine.
func (s *costSimulation) place(j *costJob) {
	total := 0
	for _, e := range s.engines {
		total += len(e.jobs)
	}
	e := s.choose(j)
	j.engine, j.expected = e, s.costs.Estimate(j.subject, 0, 4*j.kind.output).Mean
	if s.counted(j) {
		s.requests++
		if float64(len(e.jobs)) > 2*float64(total)/costEngines+3 {
			s.above++
		}
	}
	j.tokens = j.kind.own
	if !e.cached[j.prompt] {
		j.tokens += j.kind.shared
		s.readAgain += j.kind.shared
		e.cached[j.prompt] = true
	}
	e.jobs = append(e.jobs, j)
	e.pending += j.tokens
	own := &s.own[j.instance][e.index]
	own.load++
	own.pending += j.tokens
	own.work += j.expected
	if e.running < costSlots {
		s.read(j)
	} else {
		e.waiting = append(e.waiting, j)
	}
}

// counted reports whether the job counts for the outcome.
func (s *costSimulation) counted(j *costJob) bool { return j.arrivedAt >= float64(costWarmup) }

// read takes a slot for the job and reads its prompt.
func (s *costSimulation) read(j *costJob) {
	e := j.engine
	e.running++
	e.readFreeAt = max(e.readFreeAt, s.now) + e.pace*float64(j.tokens)/costRead
	s.at(e.readFreeAt+e.pace*costStep, func() { s.first(j) })
}

// first sends the first event of a job, with the statement of the engine.
func (s *costSimulation) first(j *costJob) {
	e := j.engine
	e.pending -= j.tokens
	s.own[j.instance][e.index].pending -= j.tokens
	j.firstAt = s.now
	s.loads.Record("s", uint32(e.index+1), waxfleet.ServerLoadStatement{
		Running: e.running, Waiting: len(e.waiting), Slots: costSlots, PacePercent: 100 * e.pace, HasPace: true, Present: true, Valid: true,
	})
	if s.counted(j) {
		s.firsts = append(s.firsts, s.now-j.arrivedAt)
		if s.now-j.arrivedAt <= float64(j.kind.objective) {
			s.inTime++
		}
	}
	// A step takes up to twice as long the more requests it is for.
	step := costStep * e.pace * (1 + float64(e.running)/costSlots)
	j.endAt = s.now + j.output*step
	s.at(j.endAt, func() { s.end(j) })
}

// end ends a job, and gives its slot to the next one.
func (s *costSimulation) end(j *costJob) {
	e := j.engine
	e.jobs = slices.DeleteFunc(e.jobs, func(other *costJob) bool { return other == j })
	own := &s.own[j.instance][e.index]
	own.load--
	own.work = max(own.work-s.remaining(j), 0)
	e.running--
	s.costs.Record(waxfleet.Millis(s.now), j.subject, j.output, 0)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.read(next)
	}
}

func (s *costSimulation) outcome() CostOutcome {
	slices.Sort(s.firsts)
	quantile := func(q float64) float64 { return s.firsts[int(q*float64(len(s.firsts)-1))] }
	n := float64(max(s.requests, 1))
	return CostOutcome{
		Policy: s.policy, Scenario: s.scenario, Requests: s.requests,
		FirstP50: quantile(0.5), FirstP95: quantile(0.95), FirstP99: quantile(0.99),
		InTime: float64(s.inTime) / n, AboveBound: float64(s.above) / n, SharedRead: float64(s.readAgain) / 1e6,
	}
}

// FormatCosts returns the outcomes of all policies and scenarios as a table: for each figure
// the minimum, the median and the maximum over the seeds.
func FormatCosts(seeds []uint64) string {
	out := "| scenario | policy | first event p50 (ms) | p95 | p99 | within the objective | above 2 x mean + 3 | shared tokens read (millions) |\n|---|---|---|---|---|---|---|---|\n"
	for _, scenario := range CostScenarios() {
		for _, policy := range CostPolicies() {
			var runs []CostOutcome
			for _, seed := range seeds {
				runs = append(runs, RunCost(policy, scenario, seed))
			}
			spread := func(format string, figure func(CostOutcome) float64) string {
				values := make([]float64, len(runs))
				for i, r := range runs {
					values[i] = figure(r)
				}
				slices.Sort(values)
				return fmt.Sprintf(format+"/"+format+"/"+format, values[0], values[len(values)/2], values[len(values)-1])
			}
			out += fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s |\n", scenario, policy,
				spread("%.0f", func(o CostOutcome) float64 { return o.FirstP50 }),
				spread("%.0f", func(o CostOutcome) float64 { return o.FirstP95 }),
				spread("%.0f", func(o CostOutcome) float64 { return o.FirstP99 }),
				spread("%.4f", func(o CostOutcome) float64 { return o.InTime }),
				spread("%.4f", func(o CostOutcome) float64 { return o.AboveBound }),
				spread("%.1f", func(o CostOutcome) float64 { return o.SharedRead }))
		}
	}
	return out
}
