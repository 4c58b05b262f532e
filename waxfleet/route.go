package waxfleet

// RouteKind is the delivery guarantee of the requests of a route.
type RouteKind int

// Kinds of routes.
const (
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent RouteKind = iota
	// KindAtMostOnce is for requests that run at most once per caller attempt.
	KindAtMostOnce
	// KindStream is for requests with a response of server-sent events. They run at
	// most once, unless the route is resumable.
	KindStream
)

// String returns the name for logs and metrics. It panics for an undefined kind.
func (k RouteKind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// RouteSpec holds the parameters of NewRoute.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// TrafficSplit is the traffic split. It has at least one entry.
	TrafficSplit []WeightedService
	// Timeout is the time after which a request fails.
	Timeout Millis
	// LatencyObjective is the target for the time to the response, or to the first event
	// of a stream.
	LatencyObjective Millis
	// EventGapObjective is the target for the time between two events of a stream; 0 when
	// there is none.
	EventGapObjective Millis
	// MaxAttempts is the maximum number of backend servers that may run one caller
	// attempt.
	MaxAttempts int
	// Priority is the queue priority; 0 is the highest.
	Priority int
	// Public reports that requests need no API key.
	Public bool
	// Sticky reports that requests benefit from the prompt cache of a backend
	// server.
	Sticky bool
	// Resumable reports that another backend server can continue a broken stream.
	Resumable bool
}

// Route maps requests by host and path prefix to services.
type Route struct{ spec RouteSpec }

// NewRoute returns a route. It raises a MaxAttempts below 1 to 1.
func NewRoute(spec RouteSpec) Route {
	spec.MaxAttempts = max(spec.MaxAttempts, 1)
	return Route{spec: spec}
}

// Name returns the name, which is unique in the configuration.
func (r Route) Name() string { return r.spec.Name }

// Host returns the host that the route matches.
func (r Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r Route) Prefix() string { return r.spec.Prefix }

// Kind returns the delivery guarantee of the requests.
func (r Route) Kind() RouteKind { return r.spec.Kind }

// TrafficSplit returns the traffic split.
func (r Route) TrafficSplit() []WeightedService { return r.spec.TrafficSplit }

// Timeout returns the time after which a request fails.
func (r Route) Timeout() Millis { return r.spec.Timeout }

// LatencyObjective returns the target for the time to the response, or to the first event
// of a stream.
func (r Route) LatencyObjective() Millis { return r.spec.LatencyObjective }

// EventGapObjective returns the target for the time between two events of a stream; 0
// when there is none.
func (r Route) EventGapObjective() Millis { return r.spec.EventGapObjective }

// MaxAttempts returns the maximum number of backend servers that may run one caller
// attempt.
func (r Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Priority returns the queue priority; 0 is the highest.
func (r Route) Priority() int { return r.spec.Priority }

// Public reports whether requests need no API key.
func (r Route) Public() bool { return r.spec.Public }

// Sticky reports whether requests benefit from the prompt cache of a backend
// server.
func (r Route) Sticky() bool { return r.spec.Sticky }

// Resumable reports whether another backend server can continue a broken stream.
func (r Route) Resumable() bool { return r.spec.Resumable }

// Retryable reports whether a request that may have run can be retried.
func (r Route) Retryable() bool {
	return r.spec.Kind == KindIdempotent || r.spec.Kind == KindStream && r.spec.Resumable
}

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	// Name is unique in the configuration.
	Name string
	// HealthPath is the path of the health check; it returns 200 while a backend
	// server is healthy.
	HealthPath string
	// MaxConnections is the maximum number of connections that a backend server
	// accepts from all callers combined.
	MaxConnections int
	// ColdRequestsPerSecond is the maximum rate of requests to a backend server during
	// warm-up; 0 when the backend servers need no warm-up.
	ColdRequestsPerSecond float64
	// WarmupDuration is the duration of the warm-up after the start of a backend server.
	WarmupDuration Millis
	// KVCacheTokens is the KV cache capacity of a model engine, in tokens; 0 for plain
	// services.
	KVCacheTokens int
}

// CallerLimits holds the size limits and timeouts of the connections of callers.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the timeout for reading the header of a request.
	HeaderTimeout Millis
	// IdleTimeout is the timeout after which an idle connection is closed.
	IdleTimeout Millis
}
