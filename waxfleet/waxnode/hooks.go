package waxnode

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxmember"
)

// Hooks replace components of an instance in embedded fleets, to inject network
// partitions and to disable mechanisms. A nil hook changes nothing.
type Hooks struct {
	// Dial opens the connections to peers.
	Dial waxmember.DialFunc
	// Config wraps the configuration source of admission and routing.
	Config func(waxfleet.ConfigSource) waxfleet.ConfigSource
	// Store wraps the client of the platform's Object API.
	Store func(waxfleet.ObjectStore) waxfleet.ObjectStore
	// Dispatcher wraps the dispatcher of calls to backend servers.
	Dispatcher func(waxfleet.Dispatcher) waxfleet.Dispatcher
}

func (h Hooks) wrapConfig(c waxfleet.ConfigSource) waxfleet.ConfigSource {
	return applyHook(h.Config, c)
}

func (h Hooks) wrapStore(s waxfleet.ObjectStore) waxfleet.ObjectStore { return applyHook(h.Store, s) }

func (h Hooks) wrapDispatcher(d waxfleet.Dispatcher) waxfleet.Dispatcher {
	return applyHook(h.Dispatcher, d)
}

func applyHook[T any](hook func(T) T, component T) T {
	if hook == nil {
		return component
	}
	return hook(component)
}
