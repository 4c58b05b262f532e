package waxfleet

// ServiceTotal is the load of one service in one failure domain.
type ServiceTotal struct {
	service       string
	failureDomain string
	inFlight      int
	servers       int
	free          int
}

// NewServiceTotal returns a total: requests in flight, live backend servers and
// free places.
func NewServiceTotal(service, failureDomain string, inFlight, servers, free int) ServiceTotal {
	return ServiceTotal{service: service, failureDomain: failureDomain, inFlight: inFlight, servers: servers, free: free}
}

// Service returns the name of the service.
func (t ServiceTotal) Service() string { return t.service }

// FailureDomain returns the name of the failure domain.
func (t ServiceTotal) FailureDomain() string { return t.failureDomain }

// InFlight returns the requests in flight.
func (t ServiceTotal) InFlight() int { return t.inFlight }

// Servers returns the number of live backend servers.
func (t ServiceTotal) Servers() int { return t.servers }

// Free returns the number of requests that could start now.
func (t ServiceTotal) Free() int { return t.free }
