package waxrollout

import (
	"maps"
	"math"
	"slices"

	"waxwingdrift.org/waxfleet"
)

const (
	// missProbability and falseProbability are those of the sequential probability ratio test:
	// of not finding a bad version, and of finding a good one bad.
	missProbability  = 0.01
	falseProbability = 0.001
	// minFailureRate is the least rate of failures that the test takes for that of the old
	// version, and failureMargin the difference that makes a version bad.
	minFailureRate = 0.01
	failureMargin  = 0.1
	// rateDecay and fastRateDecay are the time constants with which the old version's rates of
	// failures follow its latest responses: a fault that hits both versions must not count
	// against one. The fast one shows it within a call or two where there are many requests.
	rateDecay     = 2_000.0
	fastRateDecay = 500.0
	// minRateResponses is the number of responses that a rate is taken from.
	minRateResponses = 40

	// slowFactor is the ratio of medians from which a version is bad, if both are of the same
	// time span. It has to last for slowTime, which a change of the share takes to show.
	slowFactor                 = 2.5
	slowTime   waxfleet.Millis = 500
	// lateSlowFactor applies when the old version has responded far less in the last
	// lateWindow, as it gets nothing any more. The load may have changed since, so that the
	// ratio is larger and has to last for lateSlowTime, by the times of the last lateTimes. With
	// the time until the median shows it, more would exceed the 5 s after which a bad version
	// gets nothing.
	lateSlowFactor                 = 3.0
	lateSlowTime   waxfleet.Millis = 2_500
	lateTimes      waxfleet.Millis = 500
	lateWindow     waxfleet.Millis = 500
	// burstFactor is the ratio of the service's present requests per second to those since the
	// order from which the late comparison pauses: a burst slows a good version, too.
	burstFactor = 1.5
	// latePart is the part of the old version's responses of the time window that has to be in
	// the last lateWindow; steady traffic has a quarter there.
	latePart = 0.1
	// minTimes is the number of times of each version that are compared.
	minTimes = 20
	// slowMargin is the least difference between the parts of the two versions' responses that
	// take longer than the compared time. It keeps a route of short and long requests, whose
	// median jumps, from looking slow.
	slowMargin = 0.25
	// timeWindow is the time span of the latest times, and snapshotPeriod the spacing of the
	// snapshots that it is taken from.
	timeWindow     waxfleet.Millis = 2_000
	snapshotPeriod waxfleet.Millis = 250

	// crashFactor is the ratio of the parts of their servers that crashed from which a version
	// is bad. With servers of equal number it takes six crashes if the old version has none.
	crashFactor = 5
)

// Bounds of the log likelihood ratio: a version is found bad at the upper one. The ratio does
// not fall below the lower one, where the test ends in favor of the version and begins again;
// without it, a fault after a long good time would take as long to be found.
var (
	upperBound = math.Log((1 - missProbability) / falseProbability)
	lowerBound = math.Log(missProbability / (1 - falseProbability))
)

// Verdict is the result of an evaluation.
type Verdict int

// Verdicts.
const (
	VerdictUndecided Verdict = iota
	// VerdictSuspect says that the new version is slow by the late comparison, and that the old
	// version should get requests to compare it with.
	VerdictSuspect
	VerdictBad
)

// Causes of a finding.
const (
	CauseFailures = "failures"
	CauseTimes    = "times"
	CauseCrashes  = "crashes"
)

// Finding is what the evidence says of the new version.
type Finding struct {
	Verdict Verdict
	// Route is the route that decided, or "" for all routes.
	Route string
	// Cause says which test decided: CauseFailures, CauseTimes or CauseCrashes.
	Cause string
	// Responses and Bad are counts of the new version since the order, OldRate the rate of
	// failures that it was compared with.
	Responses uint64
	Bad       uint64
	OldRate   float64
	// Median and OldMedian are the medians that were compared, in ms.
	Median    float64
	OldMedian float64

	// order is the key of the order that the evidence is about.
	order string
}

// side holds the counts of the two versions on a route.
type side struct {
	to  Cell
	old Cell
}

// routeTest is the state of the tests on a route.
type routeTest struct {
	last side
	// ratio is the log likelihood ratio.
	ratio float64
	slow  decayed
	fast  decayed
	// slowSince is the time since which the comparison of times finds the version slow, or 0.
	slowSince waxfleet.Millis
}

// decayed holds the latest responses of the old version, with exponential decay.
type decayed struct {
	responses float64
	bad       float64
}

func (d *decayed) add(responses, bad, decay float64) {
	d.responses = d.responses*decay + responses
	d.bad = d.bad*decay + bad
}

// snapshot holds the counts at a time.
type snapshot struct {
	at       waxfleet.Millis
	routes   map[string]side
	requests uint64
}

// Evaluator compares the responses of the new version with those of the others in the same time
// span. It is not safe for concurrent use.
type Evaluator struct {
	to        string
	lastAdd   waxfleet.Millis
	first     snapshot
	burst     bool
	tests     map[string]*routeTest
	snapshots []snapshot
	finding   Finding
}

// NewEvaluator returns an evaluator without evidence.
func NewEvaluator(to string) *Evaluator {
	return &Evaluator{to: to, tests: map[string]*routeTest{}}
}

// Finding returns the last finding.
func (e *Evaluator) Finding() Finding { return e.finding }

// Add takes in the cumulative counts of the fleet at a time, and returns what all evidence so
// far says. A version that was found bad stays bad. It is called several times a second;
// servers is the number of servers of each version.
func (e *Evaluator) Add(now waxfleet.Millis, total Counts, servers map[string]int) Finding {
	if e.finding.Verdict == VerdictBad {
		return e.finding
	}
	routes, all := e.sides(total)
	e.finding = Finding{Responses: all.to.Responses, Bad: all.to.Bad}
	passed := waxfleet.Millis(math.MaxInt32)
	if e.lastAdd != 0 {
		passed = max(now-e.lastAdd, 0)
	}
	e.lastAdd = now

	requests := all.to.Requests + all.old.Requests
	e.burst = e.inBurst(now, requests)
	// The total comes first: a fault of the old version shows there before it does on a route.
	found := e.testFailures("all", all, passed, 0)
	recent := e.tests["all"].recentRate()
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		f := e.testFailures(routeKey(route), routes[route], passed, recent)
		if f.Verdict != VerdictBad {
			f = e.testTimes(now, route, routes[route])
		}
		f.Route = route
		if f.Verdict > found.Verdict {
			found = f
		}
	}
	if found.Verdict != VerdictBad && e.crashes(total, servers) {
		found = Finding{Verdict: VerdictBad, Cause: CauseCrashes}
	}
	e.finding.order = total.order
	if found.Verdict != VerdictUndecided {
		found.order = total.order
		found.Responses, found.Bad = all.to.Responses, all.to.Bad
		e.finding = found
	}
	e.keep(snapshot{at: now, routes: routes, requests: requests})
	return e.finding
}

// sides returns the counts of the two versions by route, and their sum.
func (e *Evaluator) sides(total Counts) (map[string]side, side) {
	routes := map[string]side{}
	var all side
	for k, cell := range total.Cells {
		s := routes[k.Route]
		if k.Version == e.to {
			s.to, all.to = s.to.plus(cell), all.to.plus(cell)
		} else {
			s.old, all.old = s.old.plus(cell), all.old.plus(cell)
		}
		routes[k.Route] = s
	}
	return routes, all
}

// routeKey returns the key of the tests on a route.
func routeKey(route string) string { return "route " + route }

// recentRate returns the highest of the old version's latest rates of failures.
func (t *routeTest) recentRate() float64 {
	return max(rate(t.slow.bad, t.slow.responses), rate(t.fast.bad, t.fast.responses))
}

// testFailures continues the sequential probability ratio test of a key. The old version's rate
// is the highest of that since the order, the latest ones, and recent, so that a fault of both
// versions does not count against the new one.
func (e *Evaluator) testFailures(key string, s side, passed waxfleet.Millis, recent float64) Finding {
	t := e.test(key)
	oldResponses := float64(rise(s.old.Responses, t.last.old.Responses))
	oldBad := float64(rise(s.old.Bad, t.last.old.Bad))
	t.slow.add(oldResponses, oldBad, math.Exp(-float64(passed)/rateDecay))
	t.fast.add(oldResponses, oldBad, math.Exp(-float64(passed)/fastRateDecay))
	bad := float64(rise(s.to.Bad, t.last.to.Bad))
	good := max(float64(rise(s.to.Responses, t.last.to.Responses))-bad, 0)
	t.last = s

	p0 := max(minFailureRate, rate(float64(s.old.Bad), float64(s.old.Responses)), t.recentRate(), recent)
	p0 = min(p0, 1-2*failureMargin)
	p1 := p0 + failureMargin
	t.ratio += bad*math.Log(p1/p0) + good*math.Log((1-p1)/(1-p0))
	t.ratio = max(t.ratio, lowerBound)
	if t.ratio < upperBound {
		return Finding{}
	}
	return Finding{Verdict: VerdictBad, Cause: CauseFailures, OldRate: p0}
}

// testTimes compares the times of the two versions on a route: those of the last seconds if
// there are enough, else those since the order.
func (e *Evaluator) testTimes(now waxfleet.Millis, route string, s side) Finding {
	before := e.before(now, timeWindow, route)
	to, old := since(s.to.Times, before.to.Times), since(s.old.Times, before.old.Times)
	t := e.test(routeKey(route))
	lately := count(since(s.old.Times, e.before(now, lateWindow, route).old.Times))
	factor, lasting, late := slowFactor, slowTime, false
	switch {
	case count(to) >= minTimes && count(old) >= minTimes && lately >= latePart*count(old):
	case count(to) >= minTimes && count(s.old.Times) >= minTimes:
		old, factor, lasting, late = s.old.Times, lateSlowFactor, lateSlowTime, true
		if last := since(s.to.Times, e.before(now, lateTimes, route).to.Times); count(last) >= minTimes {
			to = last
		}
	case count(s.to.Times) >= minTimes && count(s.old.Times) >= minTimes:
		to, old = s.to.Times, s.old.Times
	default:
		return Finding{}
	}
	oldMedian := median(old)
	n := count(to)
	above := partAbove(to, factor*oldMedian)
	if above < 0.5+1/math.Sqrt(n) || above < partAbove(old, factor*oldMedian)+slowMargin || late && e.burst {
		t.slowSince = 0
		return Finding{}
	}
	if t.slowSince == 0 {
		t.slowSince = now
	}
	f := Finding{Cause: CauseTimes, Median: median(to), OldMedian: oldMedian}
	switch {
	case now-t.slowSince >= lasting:
		f.Verdict = VerdictBad
	case late:
		f.Verdict = VerdictSuspect
	default:
		return Finding{}
	}
	return f
}

// crashes reports whether servers of the new version crash far more often than others.
func (e *Evaluator) crashes(total Counts, servers map[string]int) bool {
	oldCrashed, oldServers := 0, 0
	for version, crashed := range total.Crashed {
		if version != e.to {
			oldCrashed += len(crashed)
		}
	}
	for version, n := range servers {
		if version != e.to {
			oldServers += n
		}
	}
	crashed := len(total.Crashed[e.to])
	return crashed*max(oldServers, 1) > crashFactor*(oldCrashed+1)*max(servers[e.to], 1)
}

// test returns the state of the tests of a key.
func (e *Evaluator) test(key string) *routeTest {
	t := e.tests[key]
	if t == nil {
		t = &routeTest{}
		e.tests[key] = t
	}
	return t
}

// inBurst reports whether the service gets far more requests than on average since the first
// call.
func (e *Evaluator) inBurst(now waxfleet.Millis, requests uint64) bool {
	if e.first.at == 0 || now-e.first.at <= timeWindow {
		return false
	}
	mean := float64(rise(requests, e.first.requests)) / float64(now-e.first.at)
	last, ok := e.at(now, timeWindow)
	return ok && float64(rise(requests, last.requests))/float64(now-last.at) > burstFactor*mean
}

// keep adds a snapshot and drops those that no window needs.
func (e *Evaluator) keep(s snapshot) {
	if e.first.at == 0 {
		e.first = snapshot{at: s.at, requests: s.requests}
	}
	if n := len(e.snapshots); n > 0 && s.at-e.snapshots[n-1].at < snapshotPeriod {
		return
	}
	e.snapshots = append(e.snapshots, s)
	for len(e.snapshots) > 1 && s.at-e.snapshots[1].at >= timeWindow {
		e.snapshots = e.snapshots[1:]
	}
}

// at returns the last snapshot that is older than a time span.
func (e *Evaluator) at(now, span waxfleet.Millis) (snapshot, bool) {
	for i := len(e.snapshots) - 1; i >= 0; i-- {
		if now-e.snapshots[i].at >= span {
			return e.snapshots[i], true
		}
	}
	return snapshot{}, false
}

// before returns the counts of a route at the begin of a time span that ends now, or none if
// there was no call before it.
func (e *Evaluator) before(now, span waxfleet.Millis, route string) side {
	s, _ := e.at(now, span)
	return s.routes[route]
}

// rise returns by how much a count has risen. A sum may fall when a sender's copy is dropped.
func rise(count, last uint64) uint64 {
	if count < last {
		return 0
	}
	return count - last
}

// rate returns bad / responses, or 0 if there are few.
func rate(bad, responses float64) float64 {
	if responses < minRateResponses {
		return 0
	}
	return bad / responses
}

// since returns the times that were added after a snapshot.
func since(times, before [Buckets]uint64) [Buckets]uint64 {
	for i := range times {
		times[i] = rise(times[i], before[i])
	}
	return times
}

// count returns the number of times.
func count(times [Buckets]uint64) float64 {
	n := uint64(0)
	for _, c := range times {
		n += c
	}
	return float64(n)
}

// median returns the median of times, interpolated within its bucket.
func median(times [Buckets]uint64) float64 {
	half, below := count(times)/2, 0.0
	for i, c := range times {
		if n := float64(c); n > 0 && below+n >= half {
			return bucketStart(i) * math.Pow(2, (half-below)/n/2)
		}
		below += float64(c)
	}
	return 0
}

// partAbove returns the part of the times that exceed a limit, interpolated within its bucket.
func partAbove(times [Buckets]uint64, limit float64) float64 {
	above := 0.0
	for i, c := range times {
		below := min(max(2*math.Log2(limit/bucketStart(i)), 0), 1)
		above += float64(c) * (1 - below)
	}
	return above / max(count(times), 1)
}
