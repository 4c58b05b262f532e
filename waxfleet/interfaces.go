package waxfleet

import "context"

// ObjectStore is the platform's Object API.
//
// Errors: CodeObjectNotFound; CodeObjectConflict when the version does not
// match; CodePlatformUnreachable, CodePlatformRateLimited when nothing was
// written; CodePlatformUnknown when a write may have taken effect.
type ObjectStore interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes on condition of the current version; version 0 creates.
	Put(ctx context.Context, kind, name string, value []byte, version uint64) (Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch blocks until the object has a version above after, at most 30 s, and
	// then returns the current object.
	Watch(ctx context.Context, kind, name string, after uint64) (Object, error)
}

// InstanceLister is the platform's instance list. It lags.
type InstanceLister interface {
	ListInstances(ctx context.Context) ([]Instance, []BackendServer, error)
}

// Config is one immutable version of the configuration document.
type Config interface {
	Version() uint64
	// WorkspaceByKey finds the workspace that a caller's API key belongs to.
	WorkspaceByKey(key string) (Workspace, bool)
	Workspace(name string) (Workspace, bool)
	Tier(name string) (Tier, bool)
	Tiers() []Tier
	Service(name string) (Service, bool)
	// ServiceForModel finds the service whose engines serve the model.
	ServiceForModel(model string) (Service, bool)
	// DomainIn reports whether operators have the failure domain in service.
	// Unknown failure domains are in.
	DomainIn(failureDomain string) bool
	// Allowed reports whether the rules let the backend server do this work.
	// model is empty for plain services.
	Allowed(workspace, model string, b BackendServer) bool
	Limits() Limits
}

// ConfigSource holds the newest accepted configuration that this instance has.
type ConfigSource interface {
	// Current returns the newest configuration; it never returns to an older one.
	Current() Config
	// Copy returns the stored form for a peer.
	Copy() ConfigCopy
	// Offer takes a peer's copy if it is newer and valid.
	Offer(c ConfigCopy) error
}

// ConfigCopy is the stored form of a configuration, as peers pass it on.
type ConfigCopy struct {
	version  uint64
	head     []byte
	sections map[string][]byte
}

// NewConfigCopy returns a copy: the version and value of the head object and
// the section values by section name.
func NewConfigCopy(version uint64, head []byte, sections map[string][]byte) ConfigCopy {
	return ConfigCopy{version: version, head: head, sections: sections}
}

// Version returns the version of the head object.
func (c ConfigCopy) Version() uint64 { return c.version }

// Head returns the value of the head object.
func (c ConfigCopy) Head() []byte { return c.head }

// Sections returns the section values by section name.
func (c ConfigCopy) Sections() map[string][]byte { return c.sections }

// Claim is the answer of ClaimStore.Begin: either the caller holds the claim
// and may run the request, or a stored result ends it.
type Claim struct {
	held   bool
	token  string
	name   string
	status int
	ctype  string
	body   []byte
}

// NewHeldClaim returns a claim that the caller holds.
func NewHeldClaim(name, token string) Claim { return Claim{held: true, name: name, token: token} }

// NewStoredClaim returns the stored result of an earlier run.
func NewStoredClaim(name string, status int, contentType string, body []byte) Claim {
	return Claim{name: name, status: status, ctype: contentType, body: body}
}

// Held reports whether the caller holds the claim and may run the request.
func (c Claim) Held() bool { return c.held }

// Name returns the name of the claim object.
func (c Claim) Name() string { return c.name }

// Token returns the attempt token of the holder.
func (c Claim) Token() string { return c.token }

// Result returns the stored result: HTTP status, content type and body.
func (c Claim) Result() (status int, contentType string, body []byte) {
	return c.status, c.ctype, c.body
}

// ClaimStore makes requests run at most once.
type ClaimStore interface {
	// Begin claims the key, or returns the stored result of its first run.
	//
	// Errors: CodeClaimsUnavailable, CodeOutcomeUnknown, CodeStillRunning,
	// CodeKeyReused, CodeResultNotKept.
	Begin(ctx context.Context, workspace, key, requestDigest string) (Claim, error)
	// Finish stores the result of a run under its claim.
	Finish(ctx context.Context, c Claim, status int, contentType string, body []byte) error
	// Release gives back a claim whose request was never sent.
	Release(ctx context.Context, c Claim) error
	// Abandon ends a claim whose request was sent and left no result. Repeats get
	// CodeOutcomeUnknown.
	Abandon(ctx context.Context, c Claim) error
}

// Call is one attempt of a request at a backend server.
type Call struct {
	RequestID   string
	Service     Service
	Server      BackendServer
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	// Once forbids a second dispatch.
	Once bool
	// ResumeFrom is the number of stream events that the caller already has.
	ResumeFrom int64
}

// CallSink receives the answer of a Call in order: Head once, then Body parts.
// Body parts of a stream are whole server-sent events.
type CallSink interface {
	Head(status int, contentType string) error
	Body(part []byte, events int64) error
}

// CallResult tells how a Call ended.
type CallResult struct {
	// Whole reports that the answer arrived completely.
	Whole bool
	// Events is the number of stream events that the caller has now.
	Events int64
	// FirstByte is the time from dispatch to the first byte, or -1.
	FirstByte Millis
	// Sent reports whether a byte of the request may have left.
	Sent bool
	// Died reports that the backend server ended while the request ran.
	Died bool
	// Busy reports that the backend server refused the work unrun.
	Busy bool
}

// Dispatcher runs calls at backend servers.
type Dispatcher interface {
	// Do runs the call and passes its answer to the sink. The error has a result
	// code; the result is valid with and without an error.
	Do(ctx context.Context, call Call, sink CallSink) (CallResult, error)
	// Load fetches the load report of a backend server.
	Load(ctx context.Context, b BackendServer) (LoadReport, error)
}

// Decision is one step in the life of a request, with its reason.
type Decision struct {
	At       Millis
	Instance string
	Step     string
	Detail   string
}

// Recorder keeps the decisions of recent requests for operators.
type Recorder interface {
	Record(requestID, step, detail string)
	Decisions(requestID string) []Decision
}
