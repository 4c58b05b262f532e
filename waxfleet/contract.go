package waxfleet

// Tier is a price tier: what a caller pays and how long it can wait.
type Tier struct {
	name          string
	priceMultiple float64
	priority      int
	patience      Millis
	deadline      Millis
}

// NewTier returns a price tier. A lower priority number is served first.
// patience is the longest wait for the backend server that holds the chat,
// deadline the longest time until the request starts to run.
func NewTier(name string, priceMultiple float64, priority int, patience, deadline Millis) Tier {
	return Tier{name: name, priceMultiple: priceMultiple, priority: priority, patience: patience, deadline: deadline}
}

// Name returns the name of the tier.
func (t Tier) Name() string { return t.name }

// PriceMultiple returns the factor on the list price.
func (t Tier) PriceMultiple() float64 { return t.priceMultiple }

// Priority returns the queue priority; lower numbers are served first.
func (t Tier) Priority() int { return t.priority }

// Patience returns the longest wait at the chat's holder.
func (t Tier) Patience() Millis { return t.patience }

// Deadline returns the longest time until the request starts to run.
func (t Tier) Deadline() Millis { return t.deadline }

// Workspace is a customer of the fleet.
type Workspace struct {
	name        string
	defaultTier string
	tiers       []string
	models      []string
	share       float64
}

// NewWorkspace returns a workspace. Empty tiers or models allow all. share is
// its weight when queues are divided fairly.
func NewWorkspace(name, defaultTier string, tiers, models []string, share float64) Workspace {
	return Workspace{name: name, defaultTier: defaultTier, tiers: tiers, models: models, share: share}
}

// Name returns the name that is unique in the fleet.
func (w Workspace) Name() string { return w.name }

// DefaultTier returns the tier of calls that name none.
func (w Workspace) DefaultTier() string { return w.defaultTier }

// Share returns the weight in fair sharing; at least a small positive number.
func (w Workspace) Share() float64 { return w.share }

// AllowsTier reports whether the workspace may use the tier.
func (w Workspace) AllowsTier(name string) bool { return allows(w.tiers, name) }

// AllowsModel reports whether the workspace may use the model.
func (w Workspace) AllowsModel(name string) bool { return allows(w.models, name) }

func allows(list []string, name string) bool {
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

// ServiceKind tells model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	KindModelEngine  ServiceKind = "model-engine"
	KindPlainService ServiceKind = "plain-service"
)

// Service is a set of backend servers that serve the same work.
type Service struct {
	name           string
	kind           ServiceKind
	models         []string
	oncePaths      []string
	fencingChecked bool
}

// NewService returns a service. oncePaths are path prefixes whose calls may not
// be repeated.
func NewService(name string, kind ServiceKind, models, oncePaths []string, fencingChecked bool) Service {
	return Service{name: name, kind: kind, models: models, oncePaths: oncePaths, fencingChecked: fencingChecked}
}

// Name returns the name that is unique in the fleet.
func (s Service) Name() string { return s.name }

// Kind tells whether its backend servers are model engines.
func (s Service) Kind() ServiceKind { return s.kind }

// Models returns the models that its engines serve.
func (s Service) Models() []string { return append([]string(nil), s.models...) }

// FencingChecked reports whether its backend servers refuse orders with an old
// fencing number.
func (s Service) FencingChecked() bool { return s.fencingChecked }

// Once reports whether calls to the path may not be repeated.
func (s Service) Once(path string) bool {
	for _, prefix := range s.oncePaths {
		if len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// Limits holds the numbers of the load limit and of the queues.
type Limits struct {
	loadFactor   float64
	loadFloor    int
	queueLength  int
	coldWindow   int
	maxBodyBytes int64
}

// NewLimits returns limits. loadFactor is the multiple of the mean load,
// loadFloor its floor in requests, queueLength the longest queue per backend
// server, and coldWindow the window at which a backend server counts as warm.
func NewLimits(loadFactor float64, loadFloor, queueLength, coldWindow int, maxBodyBytes int64) Limits {
	return Limits{loadFactor: loadFactor, loadFloor: loadFloor, queueLength: queueLength, coldWindow: coldWindow, maxBodyBytes: maxBodyBytes}
}

// LoadFactor returns the multiple of the mean load.
func (l Limits) LoadFactor() float64 { return l.loadFactor }

// LoadFloor returns the least load limit, in requests.
func (l Limits) LoadFloor() int { return l.loadFloor }

// QueueLength returns the longest queue per backend server, in requests.
func (l Limits) QueueLength() int { return l.queueLength }

// ColdWindow returns the window at which a backend server counts as warm.
func (l Limits) ColdWindow() int { return l.coldWindow }

// MaxBodyBytes returns the largest request body, in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }
