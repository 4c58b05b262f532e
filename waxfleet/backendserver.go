package waxfleet

// BackendServer is a model engine or one server of a plain service.
type BackendServer struct {
	id            string
	service       string
	failureDomain string
	address       string
	state         State
}

// NewBackendServer returns a backend server. address is "ip:port" of its HTTP
// service.
func NewBackendServer(id, service, failureDomain, address string, state State) BackendServer {
	return BackendServer{id: id, service: service, failureDomain: failureDomain, address: address, state: state}
}

// ID returns the name that is unique in the fleet.
func (b BackendServer) ID() string { return b.id }

// Service returns the name of the service that it belongs to.
func (b BackendServer) Service() string { return b.service }

// FailureDomain returns the name of the failure domain it runs in.
func (b BackendServer) FailureDomain() string { return b.failureDomain }

// Address returns "ip:port" of its HTTP service.
func (b BackendServer) Address() string { return b.address }

// State returns the state that the instance list shows.
func (b BackendServer) State() State { return b.state }

// LoadReport is what a backend server says of itself at GET /load. It lags.
type LoadReport struct {
	inFlight    int
	cold        bool
	leaving     bool
	incarnation string
}

// NewLoadReport returns a load report; inFlight counts requests.
func NewLoadReport(inFlight int, cold, leaving bool, incarnation string) LoadReport {
	return LoadReport{inFlight: inFlight, cold: cold, leaving: leaving, incarnation: incarnation}
}

// InFlight returns the number of requests that run or wait at the server.
func (l LoadReport) InFlight() int { return l.inFlight }

// Cold reports whether the server bears only a little work.
func (l LoadReport) Cold() bool { return l.cold }

// Leaving reports whether the server wants no new work.
func (l LoadReport) Leaving() bool { return l.leaving }

// Incarnation returns a value that changes when the server restarts.
func (l LoadReport) Incarnation() string { return l.incarnation }
