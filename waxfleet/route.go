package waxfleet

// RouteKind tells how often the requests of a route may run.
type RouteKind int

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota
	// KindOnce requests run at most once for each caller attempt.
	KindOnce
	// KindStream requests are answered by server-sent events and run at most
	// once, unless the route is resumable.
	KindStream
)

// String returns the name for logs.
func (k RouteKind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// ServiceShare is the part of a route's requests that one service serves.
type ServiceShare struct {
	Service string
	Weight  float64
}

// RouteSpec holds the fields of a Route.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Shares has at least one entry.
	Shares []ServiceShare
	// Timeout is the longest time that a request may be kept waiting.
	Timeout Millis
	// Objective is the time within which an answer, or the first event of a
	// stream, earns its full value.
	Objective Millis
	// Pause is the longest pause between the events of a stream that is still on
	// time; 0 when there is no bound.
	Pause Millis
	// Attempts is the number of backend servers that may run one caller attempt.
	Attempts int
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Sticky routes profit from the prompt cache of a backend server.
	Sticky    bool
	Resumable bool
}

// Route is a rule that sends requests to services.
type Route struct{ spec RouteSpec }

// NewRoute returns a route. Attempts below 1 count as 1.
func NewRoute(spec RouteSpec) Route {
	spec.Attempts = max(spec.Attempts, 1)
	return Route{spec: spec}
}

// Name returns the name that is unique in the configuration.
func (r Route) Name() string { return r.spec.Name }

// Host returns the host that the route is for.
func (r Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix; it begins and ends with a slash.
func (r Route) Prefix() string { return r.spec.Prefix }

// Kind tells how often requests may run.
func (r Route) Kind() RouteKind { return r.spec.Kind }

// Shares returns the services with their weights.
func (r Route) Shares() []ServiceShare { return r.spec.Shares }

// Timeout returns the longest time that a request may be kept waiting.
func (r Route) Timeout() Millis { return r.spec.Timeout }

// Objective returns the time within which an answer earns its full value.
func (r Route) Objective() Millis { return r.spec.Objective }

// Pause returns the longest pause between events that is on time.
func (r Route) Pause() Millis { return r.spec.Pause }

// Attempts returns the number of backend servers that may run one attempt.
func (r Route) Attempts() int { return r.spec.Attempts }

// Priority returns the rank; 0 is the most urgent.
func (r Route) Priority() int { return r.spec.Priority }

// Public reports whether requests need no key.
func (r Route) Public() bool { return r.spec.Public }

// Sticky reports whether requests profit from a prompt cache.
func (r Route) Sticky() bool { return r.spec.Sticky }

// Resumable reports whether a broken stream may go on at another server.
func (r Route) Resumable() bool { return r.spec.Resumable }

// Repeatable reports whether a request may run a second time.
func (r Route) Repeatable() bool {
	return r.spec.Kind == KindIdempotent || r.spec.Kind == KindStream && r.spec.Resumable
}

// ServiceContract is what operators state about a service.
type ServiceContract struct {
	// Name is unique in the configuration.
	Name string
	// HealthPath answers 200 while a backend server is healthy.
	HealthPath string
	// MaxConnections is the number of connections that one backend server takes
	// from all callers combined.
	MaxConnections int
	// ColdPerSecond is the number of requests per second that a cold backend
	// server bears; 0 when its backend servers are never cold.
	ColdPerSecond float64
	// ColdTime is how long a backend server is cold after its start.
	ColdTime Millis
	// CacheTokens is the memory of a model engine in tokens; 0 for plain services.
	CacheTokens int
}

// ClientLimits bound what a client may send.
type ClientLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  Millis
	IdleTime    Millis
}
