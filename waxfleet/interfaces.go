package waxfleet

import "context"

// ObjectStore is the platform's Object API.
//
// Errors: CodeObjectNotFound; CodeObjectConflict when the version does not match;
// CodePlatformUnreachable and CodePlatformRateLimited when nothing was written;
// CodePlatformUnknown when a write may have taken effect.
type ObjectStore interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes the object if its current version is version. Version 0 creates
	// the object.
	Put(ctx context.Context, kind, name string, value []byte, version uint64) (Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch waits up to 30 s for a version of the object above after, and returns the
	// current object.
	Watch(ctx context.Context, kind, name string, after uint64) (Object, error)
}

// InstanceLister lists the router instances and backend servers that the platform
// knows. The list may be stale.
type InstanceLister interface {
	ListInstances(ctx context.Context) ([]Instance, []BackendServer, error)
}

// Text is a named text in the platform's store.
type Text struct {
	Name     string
	Revision Revision
	Text     string
}

// TextStore keeps texts that outlast all instances in the platform's store.
//
// Errors: CodePlatformRateLimited and CodePlatformUnreachable when nothing was done;
// CodePlatformUnknown when a write may have taken effect.
type TextStore interface {
	// Read returns all texts.
	Read(ctx context.Context) ([]Text, error)
	// Write writes a text and replaces an existing one.
	Write(ctx context.Context, name, text string) error
	// Delete deletes a text if it has not changed since it was read. It is not an error if
	// it has, or if there is none.
	Delete(ctx context.Context, t Text) error
}

// RecordStore keeps texts that several instances may write in the platform's store.
//
// Errors: CodeObjectNotFound; CodeObjectConflict when another revision is stored;
// CodePlatformRateLimited and CodePlatformUnreachable when nothing was done;
// CodePlatformUnknown when a write may have taken effect.
type RecordStore interface {
	// Read returns all texts.
	Read(ctx context.Context) ([]Text, error)
	// Write writes t if the stored text still has the revision of t, and returns the new
	// revision. Revision 0 creates the text.
	Write(ctx context.Context, t Text) (Revision, error)
	// Delete deletes a text if it has not changed since it was read. It is not an error if
	// it has, or if there is none.
	Delete(ctx context.Context, t Text) error
}

// Config is one immutable version of the configuration document.
type Config interface {
	// Version returns the version number of the document.
	Version() uint64
	// WorkspaceByKey returns the workspace that owns the API key.
	WorkspaceByKey(key string) (Workspace, bool)
	Workspace(name string) (Workspace, bool)
	Tier(name string) (Tier, bool)
	Tiers() []Tier
	Service(name string) (Service, bool)
	// ServiceForModel returns the service whose engines serve the model.
	ServiceForModel(model string) (Service, bool)
	// DomainInService reports whether the failure domain is in service. Operators take
	// domains out of service; a domain without configuration is in service.
	DomainInService(failureDomain string) bool
	// Allowed reports whether the rules permit the backend server to run requests
	// of the workspace for the model. model is empty for plain services.
	Allowed(workspace, model string, b BackendServer) bool
	Limits() Limits
}

// ConfigSource provides the newest valid configuration that this instance knows.
type ConfigSource interface {
	// Current returns the newest configuration. Versions never decrease between
	// calls.
	Current() Config
	// Copy returns the stored form of the current configuration, for peers.
	Copy() ConfigCopy
	// Offer installs a peer's copy if it is newer and valid.
	Offer(c ConfigCopy) error
}

// ConfigCopy is the stored form of a configuration, for replication between peers.
type ConfigCopy struct {
	version  uint64
	head     []byte
	sections map[string][]byte
}

// NewConfigCopy returns a copy from the version and value of the head object and
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

// Claim is the result of ClaimStore.Begin: either the caller holds the claim and
// may execute the request, or the claim has the stored result of an earlier execution.
type Claim struct {
	held        bool
	token       string
	name        string
	status      int
	contentType string
	body        []byte
}

// NewHeldClaim returns a claim that the caller holds, with its attempt token.
func NewHeldClaim(name, token string) Claim { return Claim{held: true, name: name, token: token} }

// NewStoredClaim returns a claim with the stored result of an earlier execution.
func NewStoredClaim(name string, status int, contentType string, body []byte) Claim {
	return Claim{name: name, status: status, contentType: contentType, body: body}
}

// Held reports whether the caller holds the claim and may execute the request.
func (c Claim) Held() bool { return c.held }

// Name returns the name of the claim object.
func (c Claim) Name() string { return c.name }

// Token returns the attempt token of a held claim.
func (c Claim) Token() string { return c.token }

// Result returns the stored result: HTTP status, content type and body.
func (c Claim) Result() (status int, contentType string, body []byte) {
	return c.status, c.contentType, c.body
}

// ClaimStore deduplicates requests by idempotency key, so that each is executed at
// most once.
type ClaimStore interface {
	// Begin claims the idempotency key, or returns the stored result of its first
	// execution.
	//
	// Errors: CodeClaimsUnavailable, CodeOutcomeUnknown, CodeStillRunning,
	// CodeKeyReused, CodeResultNotKept.
	Begin(ctx context.Context, workspace, key, requestDigest string) (Claim, error)
	// Finish stores the result of the execution in the claim.
	Finish(ctx context.Context, c Claim, status int, contentType string, body []byte) error
	// Release gives up a claim whose request was never sent, so that the key can
	// be claimed again.
	Release(ctx context.Context, c Claim) error
	// Abandon closes a claim whose request was sent but has no result. Retries with
	// the same key get CodeOutcomeUnknown.
	Abandon(ctx context.Context, c Claim) error
}

// Call is one attempt to run a request at a backend server.
type Call struct {
	RequestID   string
	Service     Service
	Server      BackendServer
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream reports that the response is a stream of server-sent events.
	Stream bool
	// AtMostOnce reports that the request must not be dispatched a second time.
	AtMostOnce bool
	// ResumeFrom is the number of stream events that the caller has already
	// received.
	ResumeFrom int64
}

// CallSink receives the response of a Call in order: Head once, then Body for each
// part. Each part of a stream consists of complete server-sent events.
type CallSink interface {
	Head(status int, contentType string) error
	Body(part []byte, events int64) error
}

// CallResult describes how a Call ended.
type CallResult struct {
	// Complete reports that the complete response was received.
	Complete bool
	// Events is the number of stream events that the caller has received in all,
	// including the first ResumeFrom ones.
	Events int64
	// TimeToFirstByte is the time from dispatch to the first byte of the response, or -1
	// when there was none.
	TimeToFirstByte Millis
	// Sent reports that a byte of the request may have been sent.
	Sent bool
	// ServerDied reports that the backend server died while it ran the request.
	ServerDied bool
	// Rejected reports that the backend server rejected the request without running
	// it.
	Rejected bool
}

// Dispatcher sends calls to backend servers.
type Dispatcher interface {
	// Do runs the call and passes its response to the sink. Errors have a result
	// code. The result is valid even when the error is not nil.
	Do(ctx context.Context, call Call, sink CallSink) (CallResult, error)
	// Load fetches the load report of a backend server.
	Load(ctx context.Context, b BackendServer) (LoadReport, error)
}

// Decision is a recorded step in the processing of a request, with its details.
type Decision struct {
	At       Millis
	Instance string
	Step     string
	Detail   string
}

// Recorder stores the decisions about recent requests for inspection by operators.
type Recorder interface {
	Record(requestID, step, detail string)
	Decisions(requestID string) []Decision
}
