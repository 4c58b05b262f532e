package waxpool

import "sync/atomic"

// spareShare is the part of the budget up to which spare connections are opened.
const spareShare = 4

// Budget bounds the connections that the pools of a process keep idle, as descriptors are
// shared. It is safe for concurrent use.
type Budget struct {
	limit int64
	open  atomic.Int64
}

// NewBudget returns a Budget of open connections. Requests may exceed it; idle connections
// don't.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// add adds n to the number of open connections.
func (b *Budget) add(n int64) { b.open.Add(n) }

// exceeded reports whether more connections are open than the budget allows.
func (b *Budget) exceeded() bool { return b.open.Load() > b.limit }

// allowsSpares reports whether spare connections are kept.
func (b *Budget) allowsSpares() bool { return b.open.Load() < b.limit/spareShare }

// addSpare adds a spare connection, unless too many are open for one.
func (b *Budget) addSpare() bool {
	if b.open.Add(1) <= b.limit/spareShare {
		return true
	}
	b.open.Add(-1)
	return false
}
