// Package waxfault holds faults that fakes of backend servers apply to their requests.
package waxfault

import (
	"net/http"
	"sync"
)

// Fault is a fault that a backend server applies to one request.
type Fault string

// Queue is a queue of faults: each request consumes one. The zero value is empty.
type Queue struct {
	mu     sync.Mutex
	faults []Fault
	custom map[Fault]customFault
}

// customFault is a fault that a test defines.
type customFault struct {
	write     http.HandlerFunc
	midStream bool
}

// Define defines a fault that the package lacks: write sends the response instead of the
// server or, with midStream, the second half of a stream. It must precede all requests.
func (q *Queue) Define(f Fault, midStream bool, write http.HandlerFunc) {
	if q.custom == nil {
		q.custom = map[Fault]customFault{}
	}
	q.custom[f] = customFault{write: write, midStream: midStream}
}

// Add appends faults for the next requests.
func (q *Queue) Add(faults ...Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.faults = append(q.faults, faults...)
}

// Next removes and returns the first fault; empty if there is none.
func (q *Queue) Next() Fault {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.faults) == 0 {
		return ""
	}
	f := q.faults[0]
	q.faults = q.faults[1:]
	return f
}

// Custom returns what sends the response of a fault that a test has defined, or nil.
func (q *Queue) Custom(f Fault, midStream bool) http.HandlerFunc {
	if c := q.custom[f]; c.midStream == midStream {
		return c.write
	}
	return nil
}
