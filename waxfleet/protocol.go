package waxfleet

import "net/http"

// PromptPart is a segment of a prompt that other requests may share. Equal
// sequences of IDs mean equal prompt prefixes.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestHead is the decoded header of a caller's request.
type RequestHead struct {
	// ID identifies the caller's attempt.
	ID string
	// APIKey is the caller's API key; empty when there is none.
	APIKey string
	// Timeout is the caller's timeout; 0 when the request does not give one.
	Timeout Millis
	// LastEventID is the id of the last event that the caller received; -1 when the
	// request does not resume a stream.
	LastEventID int64
	// Resumes is the ID of the caller's attempt that brought the first event of the stream;
	// empty when the request does not resume one.
	Resumes string
	// PromptParts lists the segments of the prompt in order. The last one is specific to
	// the request or its session.
	PromptParts []PromptPart
	// PromptTokens is the length of the prompt in tokens, MaxTokens the maximum
	// length of the response.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the length of the response in tokens; 0 when it
	// gives none.
	LengthHint int
	// Header holds the header fields that are forwarded to the backend server
	// unchanged.
	Header http.Header
}

// ForwardInfo holds the values that the router adds to the header of a request to a
// backend server.
type ForwardInfo struct {
	// Server is the id of the only backend server that may run the request.
	Server string
	// RemainingTimeout is the time left until the deadline of the request.
	RemainingTimeout Millis
	// Workspace is the name of the workspace that owns the caller's API key; empty when
	// there is none.
	Workspace string
	// Priority is the priority at the engine, from 0 (highest) to 9; negative when
	// there is none.
	Priority int
	// LastEventID is the id of the last event that the caller received; -1 when the
	// request does not resume a stream.
	LastEventID int64
	// CacheSource is the "ip:port" of an engine that has more of the prompt in its
	// KV cache; empty when there is none.
	CacheSource string
}

// ResponseHead is the decoded header of a backend server's response.
type ResponseHead struct {
	// ID identifies the attempt that the response belongs to; empty when the
	// response has no attempt id.
	ID string
	// Signed reports that the response has the backend server's signature.
	Signed bool
	// NotRun reports that the backend server has not run the request and will not
	// run it.
	NotRun bool
	// Misdirected reports that the server that responded is not the intended one.
	Misdirected bool
	// IdleTimeout is the idle timeout of the connection at the server; 0 when unknown.
	IdleTimeout Millis
	// Close reports that the server closes the connection after this response.
	Close bool
	// RateLimit is the number of requests per second that the server takes from the whole
	// fleet, for as long as its responses say so. Limited is false when the response names
	// none.
	RateLimit float64
	Limited   bool
	// RetryAfter is the time for which a server that has not run the request wants nothing
	// from this instance; 0 when the response names none.
	RetryAfter Millis
	// Brittle reports that the servers of the service fall over when they have to reject
	// more than MaxRejects requests in a second because they are full.
	Brittle    bool
	MaxRejects int
	// Leaving reports that the server is shutting down.
	Leaving bool
	// CloseDelimited reports that another instance got the response without a length and
	// chunks. The end that the other instance states is confirmed.
	CloseDelimited bool
	// Load is what the server says of its load.
	Load ServerLoadStatement
}

// ServerLoadStatement is what a backend server says of its load in the header of a response.
type ServerLoadStatement struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot, and
	// Slots is the number that may run at once.
	Running, Waiting, Slots int
	// PacePercent is the time that work takes at the moment, in percent of the usual time.
	// HasPace is false when the statement names none.
	PacePercent float64
	HasPace     bool
	// Present reports that there is a statement. Valid is false when it is malformed; the
	// figures are then 0.
	Present, Valid bool
}

// Protocol translates between HTTP headers and the types of this package. It makes
// no routing decisions.
type Protocol interface {
	// DecodeRequest decodes the header of a caller's request. A malformed field counts as
	// absent.
	DecodeRequest(r *http.Request) RequestHead
	// BackendHeader returns the header of a request to a backend server.
	BackendHeader(in RequestHead, out ForwardInfo) http.Header
	// PeerHeader returns the header of a caller's request that another instance is to
	// forward.
	PeerHeader(in RequestHead) http.Header
	// MarkPeerError adds to the header of an error response for another instance that it
	// belongs to the attempt.
	MarkPeerError(h http.Header, attempt string)
	// MarkCloseDelimited adds to the header of a response for another instance that its
	// backend server sent it without a length and chunks.
	MarkCloseDelimited(h http.Header)
	// DecodeResponse decodes the header of a response.
	DecodeResponse(status int, h http.Header) ResponseHead
	// ProbeTarget returns the target of a request that servers of the service answer without
	// running work of callers, and whether the answer names their start time.
	ProbeTarget(service ServiceSpec) (target string, namesStart bool)
	// DecodeProbe decodes the answer to it: the ID of the server, and its start time in Unix
	// milliseconds. Either may be missing.
	DecodeProbe(h http.Header, body []byte) (server string, startUnixMilli int64)
	// CallerHeader returns the header fields of a response that are forwarded to
	// the caller.
	CallerHeader(h http.Header) http.Header
}
