package waxfleet

// BackendServer is a model engine, or a server of a plain service.
type BackendServer struct {
	id            string
	service       string
	failureDomain string
	address       string
	state         State
}

// NewBackendServer returns a backend server. address is the "ip:port" of its
// HTTP endpoint.
func NewBackendServer(id, service, failureDomain, address string, state State) BackendServer {
	return BackendServer{
		id:            id,
		service:       service,
		failureDomain: failureDomain,
		address:       address,
		state:         state,
	}
}

// ID returns the fleet-wide unique name.
func (b BackendServer) ID() string { return b.id }

// Service returns the name of the service the server belongs to.
func (b BackendServer) Service() string { return b.service }

// FailureDomain returns the name of the failure domain the server runs in.
func (b BackendServer) FailureDomain() string { return b.failureDomain }

// Address returns the "ip:port" of the HTTP endpoint.
func (b BackendServer) Address() string { return b.address }

// State returns the state reported by the instance list.
func (b BackendServer) State() State { return b.state }

// LoadReport is the load that a backend server reports at GET /load. It may be
// stale.
type LoadReport struct {
	inFlight    int
	cold        bool
	leaving     bool
	incarnation string
}

// NewLoadReport returns a load report. inFlight is the number of requests that
// run or wait at the server.
func NewLoadReport(inFlight int, cold, leaving bool, incarnation string) LoadReport {
	return LoadReport{inFlight: inFlight, cold: cold, leaving: leaving, incarnation: incarnation}
}

// InFlight returns the number of requests that run or wait at the server.
func (l LoadReport) InFlight() int { return l.inFlight }

// Cold reports whether the server is warming up and can handle only little
// load.
func (l LoadReport) Cold() bool { return l.cold }

// Leaving reports whether the server is shutting down and accepts no new
// requests.
func (l LoadReport) Leaving() bool { return l.leaving }

// Incarnation returns an identifier that changes when the server restarts.
func (l LoadReport) Incarnation() string { return l.incarnation }
