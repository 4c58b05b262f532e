// Package waxgossip queues updates for the datagrams between router instances. Each
// update is sent several times, because datagrams may be lost. It does no I/O.
package waxgossip

import "slices"

const (
	// updateCopies is the number of datagrams that carry each update.
	updateCopies = 3
	// maxUpdates bounds a queue. When the queue exceeds twice this length, the oldest
	// maxUpdates updates are dropped.
	maxUpdates = 2_000
)

// Scope selects the instances that an update is sent to.
type Scope int

// Scopes of an update.
const (
	// ScopeGroup selects the group of instances that exchange datagrams directly.
	ScopeGroup Scope = iota
	// ScopeRemote selects the other failure domains of a large fleet.
	ScopeRemote
	scopeCount = 2
)

// update is an update that is still to be sent.
type update[T any] struct {
	value      T
	copiesLeft int
}

// Queue holds the updates to send, for each scope. The zero value is empty. It is not
// safe for concurrent use.
type Queue[T any] struct {
	updates [scopeCount][]update[T]
}

// Add queues an update for the next datagrams of a scope.
func (q *Queue[T]) Add(scope Scope, value T) {
	q.updates[scope] = append(q.updates[scope], update[T]{value: value, copiesLeft: updateCopies})
	if len(q.updates[scope]) > 2*maxUpdates {
		q.updates[scope] = slices.Clone(q.updates[scope][maxUpdates:])
	}
}

// AddAll queues an update for all scopes.
func (q *Queue[T]) AddAll(value T) {
	for scope := range Scope(scopeCount) {
		q.Add(scope, value)
	}
}

// Next returns at most limit updates for the next datagram of the scope.
func (q *Queue[T]) Next(scope Scope, limit int) []T {
	queue := q.updates[scope]
	n := min(limit, len(queue))
	out := make([]T, 0, n)
	kept := make([]update[T], 0, len(queue))
	for i, u := range queue {
		if i < n {
			out = append(out, u.value)
			u.copiesLeft--
		}
		if u.copiesLeft > 0 {
			kept = append(kept, u)
		}
	}
	q.updates[scope] = kept
	return out
}
