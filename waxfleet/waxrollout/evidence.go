package waxrollout

import (
	"maps"
	"math"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// Buckets is the number of buckets of a histogram of times. Each is wider than the one
	// before by the factor 2^0.5, which a ratio of 2.5 between two medians shows clearly; the
	// last one begins at 46 s.
	Buckets = 32

	// maxSenders, maxCells and maxCrashed bound the memory of a ledger against nonsense in
	// datagrams. maxSenders allows each of 400 instances to restart four times.
	maxSenders = 2_000
	maxCells   = 256
	maxCrashed = 64

	// holdAfterRow and holdAfterTotal are numbers of bad responses that the controller has not
	// judged: in a row at this instance, and at all instances. With the time that datagrams
	// take, they keep a version that fails from its 50th bad response far below the bound.
	holdAfterRow   = 10
	holdAfterTotal = 25
)

// Result is the outcome of a request at a server, as far as it concerns the version.
type Result int

// Results of requests.
const (
	// ResultAnswered is a whole response that is no failure.
	ResultAnswered Result = iota
	// ResultFailed is a 5xx of the server, except a 503 that says not run.
	ResultFailed
	// ResultCut is a response that the server cut short and whose server is reachable, or one
	// that did not come within the deadline.
	ResultCut
	// ResultCrashed is a response that ended with the process of its server. It counts by
	// server, not by response: one crash ends many responses.
	ResultCrashed
	// ResultUnreached is a connection that was refused, or reset behind a network cut.
	ResultUnreached
	// ResultBlamed is a request that crashed a server and that other evidence blames.
	ResultBlamed
	// ResultNotRun is a rejection that says not run.
	ResultNotRun
	// ResultLeft is a request whose caller has left.
	ResultLeft
)

// Bad reports whether the result is a bad response of the version.
func (r Result) Bad() bool { return r == ResultFailed || r == ResultCut }

// Outcome is the outcome of one request at one server.
type Outcome struct {
	Version string
	Route   string
	Result  Result
	// Time is the time until the first event of a stream, or until the response. It counts if
	// Result is ResultAnswered.
	Time waxfleet.Millis
	// Cold is true if the server was cold when the request was sent. Nothing of it counts.
	Cold bool
	// Untimed is true if the time says nothing about the version, as when the server had to
	// read parts of the prompt that others hold.
	Untimed bool
	// Server is the hash of the incarnation of the server.
	Server uint64
}

// Cell holds the cumulative counts of a version on a route.
type Cell struct {
	// Requests counts requests that were sent, Responses those with an outcome that counts,
	// and Bad the failures among these.
	Requests  uint64
	Responses uint64
	Bad       uint64
	// Times counts responses by time.
	Times [Buckets]uint64
}

// plus returns the sum of two cells.
func (c Cell) plus(d Cell) Cell {
	c.Requests += d.Requests
	c.Responses += d.Responses
	c.Bad += d.Bad
	for i, n := range d.Times {
		c.Times[i] += n
	}
	return c
}

// merged returns the larger one of each count. Counts of one sender only rise, so that the
// order in which copies arrive makes no difference.
func (c Cell) merged(d Cell) Cell {
	c.Requests = max(c.Requests, d.Requests)
	c.Responses = max(c.Responses, d.Responses)
	c.Bad = max(c.Bad, d.Bad)
	for i, n := range d.Times {
		c.Times[i] = max(c.Times[i], n)
	}
	return c
}

// CellKey names a Cell.
type CellKey struct {
	Version string
	Route   string
}

// Counts holds the cumulative counts of one sender for one order, or a sum of them.
type Counts struct {
	Cells map[CellKey]Cell
	// Crashed holds the hashes of the incarnations of servers that crashed, by version.
	Crashed map[string][]uint64

	// order is the key of the order if the counts are those of a Ledger. It keeps a Controller
	// from judging an order by the evidence of the one before.
	order string
}

// clone returns a copy that shares nothing with c.
func (c Counts) clone() Counts {
	out := Counts{Cells: maps.Clone(c.Cells), Crashed: map[string][]uint64{}, order: c.order}
	for version, servers := range c.Crashed {
		out.Crashed[version] = slices.Clone(servers)
	}
	return out
}

// combine adds the cells of d by f, and the crashed servers as a set.
func (c *Counts) combine(d Counts, f func(a, b Cell) Cell) {
	if c.Cells == nil {
		c.Cells, c.Crashed = map[CellKey]Cell{}, map[string][]uint64{}
	}
	for k, cell := range d.Cells {
		if have, ok := c.Cells[k]; ok || len(c.Cells) < maxCells {
			c.Cells[k] = f(have, cell)
		}
	}
	for version, servers := range d.Crashed {
		for _, s := range servers {
			c.addCrashed(version, s)
		}
	}
}

// addCrashed adds a crashed server.
func (c *Counts) addCrashed(version string, server uint64) {
	have, known := c.Crashed[version]
	if len(have) < maxCrashed && !slices.Contains(have, server) && (known || len(c.Crashed) < maxCells) {
		c.Crashed[version] = append(have, server)
	}
}

// Requests returns the number of requests of the service, and of those at a version.
func (c Counts) Requests(version string) (all, at uint64) {
	for k, cell := range c.Cells {
		all += cell.Requests
		if k.Version == version {
			at += cell.Requests
		}
	}
	return all, at
}

// Responses returns the number of responses of a version that count, and of the bad ones.
func (c Counts) Responses(version string) (all, bad uint64) {
	for k, cell := range c.Cells {
		if k.Version == version {
			all += cell.Responses
			bad += cell.Bad
		}
	}
	return all, bad
}

// sender names the process whose counts are cumulative.
type sender struct {
	name        string
	incarnation string
}

// Ledger holds the evidence of all instances about one order. Counts of a sender are
// cumulative, so that a copy replaces the one before, and nothing counts twice. It is safe for
// concurrent use.
type Ledger struct {
	orderKey string

	mu     sync.Mutex
	own    Counts
	others map[sender]Counts
}

// NewLedger returns an empty ledger for the order of a record (Order.Key).
func NewLedger(orderKey string) *Ledger {
	l := &Ledger{orderKey: orderKey, others: map[sender]Counts{}, own: Counts{order: orderKey}}
	l.own.combine(Counts{}, Cell.plus)
	return l
}

// OrderKey returns the key of the order.
func (l *Ledger) OrderKey() string { return l.orderKey }

// Sent counts a request that was sent to a server.
func (l *Ledger) Sent(version, route string) {
	l.add(version, route, Cell{Requests: 1})
}

// Observe counts the outcome of a request.
func (l *Ledger) Observe(o Outcome) {
	switch {
	case o.Cold:
	case o.Result.Bad():
		l.add(o.Version, o.Route, Cell{Responses: 1, Bad: 1})
	case o.Result == ResultAnswered:
		cell := Cell{Responses: 1}
		if !o.Untimed {
			cell.Times[bucketOf(o.Time)] = 1
		}
		l.add(o.Version, o.Route, cell)
	case o.Result == ResultCrashed:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.own.addCrashed(o.Version, o.Server)
	}
}

// add adds to the own counts.
func (l *Ledger) add(version, route string, cell Cell) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := CellKey{Version: version, Route: route}
	if have, ok := l.own.Cells[k]; ok || len(l.own.Cells) < maxCells {
		l.own.Cells[k] = have.plus(cell)
	}
}

// Own returns a copy of the counts of this instance, for its datagrams.
func (l *Ledger) Own() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.clone()
}

// Merge takes in the counts of another instance. Counts with another key are ignored. A copy
// that is older than the last one, or arrives twice, changes nothing. The counts of an earlier
// process of the sender stay, because its requests were sent.
func (l *Ledger) Merge(orderKey, name, incarnation string, c Counts) {
	if orderKey != l.orderKey {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := sender{name: name, incarnation: incarnation}
	have, ok := l.others[s]
	if !ok && len(l.others) >= maxSenders {
		return
	}
	have.combine(c, Cell.merged)
	l.others[s] = have
}

// SumOf returns the sum of the counts of the senders for which keep returns true, and of this
// instance if own is true. A gateway tells it in the name of its failure domain: two gateways
// may send it under one sender and incarnation, because the larger one of each count stands.
func (l *Ledger) SumOf(own bool, keep func(sender string) bool) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Counts{order: l.orderKey}
	if own {
		sum.combine(l.own, Cell.plus)
	}
	for s, c := range l.others {
		if keep(s.name) {
			sum.combine(c, Cell.plus)
		}
	}
	return sum
}

// Total returns the sum of all counts.
func (l *Ledger) Total() Counts {
	return l.SumOf(true, func(string) bool { return true })
}

// bucketOf returns the bucket of a time.
func bucketOf(t waxfleet.Millis) int {
	if t <= 1 {
		return 0
	}
	return min(int(2*math.Log2(float64(t))), Buckets-1)
}

// bucketStart returns the least time of a bucket, in ms.
func bucketStart(i int) float64 { return math.Pow(2, float64(i)/2) }

// Hold says that an instance sends nothing to the new version, because of bad responses that
// the controller has not judged. It is safe for concurrent use.
type Hold struct {
	mu  sync.Mutex
	row int
	// judgedAt is the number of bad responses of the fleet that the controller has to have
	// judged before the row of this instance is forgotten. It is 0 if there is no such row.
	judgedAt uint64
}

// NewHold returns a hold that is not active.
func NewHold() *Hold { return &Hold{} }

// Observe takes in a response of the new version at this instance.
func (h *Hold) Observe(bad bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bad {
		h.row++
	} else if h.judgedAt == 0 {
		h.row = 0
	}
}

// Active reports whether the instance sends nothing to the new version: it has seen 10 bad
// responses in a row, or all instances have reported 25 that the record does not contain.
func (h *Hold) Active(total Counts, record Record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, bad := total.Responses(record.order.to)
	if h.row >= holdAfterRow && h.judgedAt == 0 {
		h.judgedAt = max(bad, 1)
	}
	if h.judgedAt > 0 && record.bad >= h.judgedAt {
		h.row, h.judgedAt = 0, 0
	}
	return h.judgedAt > 0 || bad >= record.bad+holdAfterTotal
}
