package waxfleet

// Tier is a price tier: the price factor, the queue priority and the maximum waits of its
// requests.
type Tier struct {
	name          string
	priceMultiple float64
	priority      int
	patience      Millis
	deadline      Millis
}

// NewTier returns a price tier. Lower priority numbers are served first. patience
// is the maximum wait for the backend server that caches the chat, and deadline
// the maximum time until the request starts to run.
func NewTier(name string, priceMultiple float64, priority int, patience, deadline Millis) Tier {
	return Tier{
		name:          name,
		priceMultiple: priceMultiple,
		priority:      priority,
		patience:      patience,
		deadline:      deadline,
	}
}

// Name returns the tier name that requests and workspaces refer to.
func (t Tier) Name() string { return t.name }

// PriceMultiple returns the factor applied to the list price.
func (t Tier) PriceMultiple() float64 { return t.priceMultiple }

// Priority returns the queue priority; lower numbers are served first.
func (t Tier) Priority() int { return t.priority }

// Patience returns the maximum wait for the backend server that caches the chat.
func (t Tier) Patience() Millis { return t.patience }

// Deadline returns the maximum time until the request starts to run.
func (t Tier) Deadline() Millis { return t.deadline }

// Workspace is a customer (tenant) of the fleet.
type Workspace struct {
	name        string
	defaultTier string
	tiers       []string
	models      []string
	share       float64
}

// NewWorkspace returns a workspace. Empty tiers or models allow all. share is its
// weight in fair queueing.
func NewWorkspace(name, defaultTier string, tiers, models []string, share float64) Workspace {
	return Workspace{
		name:        name,
		defaultTier: defaultTier,
		tiers:       tiers,
		models:      models,
		share:       share,
	}
}

// Name returns the name that is unique in the fleet.
func (w Workspace) Name() string { return w.name }

// DefaultTier returns the tier of requests that do not specify one.
func (w Workspace) DefaultTier() string { return w.defaultTier }

// Share returns the weight in fair queueing; the configuration requires at least 0.001.
func (w Workspace) Share() float64 { return w.share }

// AllowsTier reports whether the workspace may use the tier.
func (w Workspace) AllowsTier(name string) bool { return emptyOrContains(w.tiers, name) }

// AllowsModel reports whether the workspace may use the model.
func (w Workspace) AllowsModel(name string) bool { return emptyOrContains(w.models, name) }

func emptyOrContains(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	KindModelEngine  ServiceKind = "model-engine"
	KindPlainService ServiceKind = "plain-service"
)

// Service is a group of interchangeable backend servers.
type Service struct {
	name               string
	kind               ServiceKind
	models             []string
	atMostOncePrefixes []string
	checksFencing      bool
}

// NewService returns a service. Requests to a path with one of atMostOncePrefixes are not
// retried. checksFencing means that the backend servers reject requests with a stale
// fencing token.
func NewService(name string, kind ServiceKind, models, atMostOncePrefixes []string, checksFencing bool) Service {
	return Service{
		name:               name,
		kind:               kind,
		models:             models,
		atMostOncePrefixes: atMostOncePrefixes,
		checksFencing:      checksFencing,
	}
}

// Name returns the name that is unique in the fleet.
func (s Service) Name() string { return s.name }

// Kind returns whether the backend servers are model engines or servers of a plain
// service.
func (s Service) Kind() ServiceKind { return s.kind }

// Models returns a copy of the list of models that the engines serve.
func (s Service) Models() []string { return append([]string(nil), s.models...) }

// ChecksFencing reports whether the backend servers reject requests with a stale fencing
// token.
func (s Service) ChecksFencing() bool { return s.checksFencing }

// AtMostOnce reports whether requests to the path run at most once and are not retried.
func (s Service) AtMostOnce(path string) bool {
	for _, prefix := range s.atMostOncePrefixes {
		if len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// Limits holds the load, queue and request size limits.
type Limits struct {
	loadFactor   float64
	loadFloor    int
	queueLength  int
	coldWindow   int
	maxBodyBytes int64
}

// NewLimits returns limits. The load limit of a backend server is loadFactor times the
// mean load, but at least loadFloor requests. queueLength is the maximum queue length per
// backend server, and coldWindow the concurrency window from which a backend server
// counts as warm. maxBodyBytes is the maximum size of a request body.
func NewLimits(loadFactor float64, loadFloor, queueLength, coldWindow int, maxBodyBytes int64) Limits {
	return Limits{
		loadFactor:   loadFactor,
		loadFloor:    loadFloor,
		queueLength:  queueLength,
		coldWindow:   coldWindow,
		maxBodyBytes: maxBodyBytes,
	}
}

// LoadFactor returns the factor by which the load limit exceeds the mean load.
func (l Limits) LoadFactor() float64 { return l.loadFactor }

// LoadFloor returns the minimum load limit, in requests.
func (l Limits) LoadFloor() int { return l.loadFloor }

// QueueLength returns the maximum queue length per backend server, in requests.
func (l Limits) QueueLength() int { return l.queueLength }

// ColdWindow returns the concurrency window, in requests, from which a backend
// server counts as warm.
func (l Limits) ColdWindow() int { return l.coldWindow }

// MaxBodyBytes returns the maximum size of a request body, in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }
