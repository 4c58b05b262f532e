package waxfleet

import "net/http"

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Inbound is a caller's request without the names of the wire.
type Inbound struct {
	// ID names the caller's attempt.
	ID string
	// Key is the caller's key, empty without one.
	Key string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience Millis
	// ResumeAfter is the id of the last event that the caller has, -1 without.
	ResumeAfter int64
	// Parts lists the prompt from its start. The last one belongs to the request
	// or its session alone.
	Parts []PromptPart
	// PromptTokens and MaxTokens are the sizes of the prompt and, at most, of the
	// answer.
	PromptTokens int
	MaxTokens    int
	// Header holds the header fields that go on to the backend server as they are.
	Header http.Header
}

// Outbound holds what the router adds to a request for one backend server.
type Outbound struct {
	// Server is the only backend server that may run the request.
	Server string
	// Remaining is the time that the caller and the route leave.
	Remaining Millis
	// Workspace is the owner of the caller's key, empty without one.
	Workspace string
	// Urgency is the rank at the engine from 0 (first) to 9; below 0 for none.
	Urgency int
	// ResumeAfter is the id of the last event that the caller has, -1 without.
	ResumeAfter int64
	// CacheSource is "ip:port" of an engine that holds more of the prompt; empty
	// for none.
	CacheSource string
}

// AnswerHead is the head of a backend server's answer without the names of the
// wire.
type AnswerHead struct {
	// ID names the attempt that is answered; empty when the answer names none.
	ID string
	// Sealed answers carry the backend server's signature.
	Sealed bool
	// NotRun answers state that the backend server has not run the request and
	// never will.
	NotRun bool
	// WrongServer answers come from another server than the one addressed.
	WrongServer bool
	// IdleTime is how long the server keeps an idle connection; 0 when unknown.
	IdleTime Millis
	// Close tells that the server ends the connection after this answer.
	Close bool
}

// Protocol translates between the wire and the types of the fleet. It decides
// nothing.
type Protocol interface {
	// Inbound decodes the head of a caller's request. A field that can't be read
	// counts as absent.
	Inbound(r *http.Request) Inbound
	// Outbound returns the header for a backend server.
	Outbound(in Inbound, out Outbound) http.Header
	// AnswerHead decodes the head of an answer.
	AnswerHead(status int, h http.Header) AnswerHead
	// CallerHeader returns the header fields of an answer that go on to the caller.
	CallerHeader(h http.Header) http.Header
}
