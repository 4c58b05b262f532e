package waxfleet

import "net/http"

// PromptPart is a segment of a prompt that other requests may share. Equal
// sequences of IDs mean equal prompt prefixes.
type PromptPart struct {
	ID     string
	Tokens int
}

// Inbound is the decoded header of a caller's request.
type Inbound struct {
	// ID identifies the caller's attempt.
	ID string
	// Key is the caller's API key; empty when there is none.
	Key string
	// Patience is the caller's timeout; 0 when the request does not give one.
	Patience Millis
	// ResumeAfter is the id of the last event that the caller received; -1 when
	// it resumes no stream.
	ResumeAfter int64
	// Parts lists the segments of the prompt in order. The last one is specific to
	// the request or its session.
	Parts []PromptPart
	// PromptTokens is the length of the prompt in tokens, MaxTokens the maximum
	// length of the response.
	PromptTokens int
	MaxTokens    int
	// Header holds the header fields that are forwarded to the backend server
	// unchanged.
	Header http.Header
}

// Outbound holds the values that the router adds to the header of a request to a
// backend server.
type Outbound struct {
	// Server is the id of the only backend server that may run the request.
	Server string
	// Remaining is the time left until the deadline of the request.
	Remaining Millis
	// Workspace is the owner of the caller's API key; empty when there is none.
	Workspace string
	// Urgency is the priority at the engine, from 0 (highest) to 9; negative when
	// there is none.
	Urgency int
	// ResumeAfter is the id of the last event that the caller received; -1 when no
	// stream is resumed.
	ResumeAfter int64
	// CacheSource is the "ip:port" of an engine that has more of the prompt in its
	// KV cache; empty when there is none.
	CacheSource string
}

// AnswerHead is the decoded header of a backend server's response.
type AnswerHead struct {
	// ID identifies the attempt that the response belongs to; empty when the
	// response has no attempt id.
	ID string
	// Sealed reports that the response has the backend server's signature.
	Sealed bool
	// NotRun reports that the backend server has not run the request and will not
	// run it.
	NotRun bool
	// WrongServer reports that another server than the intended one responded.
	WrongServer bool
	// IdleTime is how long the server keeps an idle connection open; 0 when
	// unknown.
	IdleTime Millis
	// Close reports that the server closes the connection after this response.
	Close bool
}

// Protocol translates between HTTP headers and the types of this package. It makes
// no routing decisions.
type Protocol interface {
	// Inbound decodes the header of a caller's request. A malformed field counts as
	// absent.
	Inbound(r *http.Request) Inbound
	// Outbound returns the header of a request to a backend server.
	Outbound(in Inbound, out Outbound) http.Header
	// AnswerHead decodes the header of a response.
	AnswerHead(status int, h http.Header) AnswerHead
	// CallerHeader returns the header fields of a response that are forwarded to
	// the caller.
	CallerHeader(h http.Header) http.Header
}
