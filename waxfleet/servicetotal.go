package waxfleet

// ServiceTotal is the total load of a service in a failure domain.
type ServiceTotal struct {
	service       string
	failureDomain string
	inFlight      int
	servers       int
	freeSlots     int
}

// NewServiceTotal returns a total. inFlight is the number of requests in flight, servers
// the number of live backend servers, and freeSlots the number of requests that could
// start at once.
func NewServiceTotal(service, failureDomain string, inFlight, servers, freeSlots int) ServiceTotal {
	return ServiceTotal{
		service:       service,
		failureDomain: failureDomain,
		inFlight:      inFlight,
		servers:       servers,
		freeSlots:     freeSlots,
	}
}

// Service returns the name of the service.
func (t ServiceTotal) Service() string { return t.service }

// FailureDomain returns the name of the failure domain.
func (t ServiceTotal) FailureDomain() string { return t.failureDomain }

// InFlight returns the number of requests in flight.
func (t ServiceTotal) InFlight() int { return t.inFlight }

// Servers returns the number of live backend servers.
func (t ServiceTotal) Servers() int { return t.servers }

// FreeSlots returns the number of requests that could start at once.
func (t ServiceTotal) FreeSlots() int { return t.freeSlots }
