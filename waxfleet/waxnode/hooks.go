package waxnode

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxmember"
)

// Hooks replace parts of an instance in embedded fleets, to cut links and to
// switch mechanisms off. A nil hook leaves its part as it is.
type Hooks struct {
	// Dial opens the connections to peers.
	Dial waxmember.DialFunc
	// Config wraps the configuration that admission and routing read.
	Config func(waxfleet.ConfigSource) waxfleet.ConfigSource
	// Store wraps the Object API.
	Store func(waxfleet.ObjectStore) waxfleet.ObjectStore
	// Dispatcher wraps the calls to backend servers.
	Dispatcher func(waxfleet.Dispatcher) waxfleet.Dispatcher
}

func (h Hooks) config(c waxfleet.ConfigSource) waxfleet.ConfigSource { return wrap(h.Config, c) }

func (h Hooks) store(s waxfleet.ObjectStore) waxfleet.ObjectStore { return wrap(h.Store, s) }

func (h Hooks) dispatcher(d waxfleet.Dispatcher) waxfleet.Dispatcher { return wrap(h.Dispatcher, d) }

func wrap[T any](hook func(T) T, part T) T {
	if hook == nil {
		return part
	}
	return hook(part)
}
