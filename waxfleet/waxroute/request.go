// Package waxroute routes a caller's request from its entry instance to the owners of
// backend servers, with retries across failure domains, until it has one response.
package waxroute

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// Request is a caller's request after parsing and authorisation.
type Request struct {
	ID             string
	Workspace      waxfleet.Workspace
	Tier           waxfleet.Tier
	Service        waxfleet.Service
	ChatKey        string
	Model          string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Stream         bool
	Once           bool
	IdempotencyKey string
	Digest         string
	PromptTokens   int64
}

// serveRequest returns the wire message for one attempt, with the time remaining until
// the deadline.
func (r *Request) serveRequest(remaining waxfleet.Millis) *waxwire.ServeRequest {
	return &waxwire.ServeRequest{
		RequestId: r.ID, Workspace: r.Workspace.Name(), Share: r.Workspace.Share(),
		ChatKey: r.ChatKey, Service: r.Service.Name(), Model: r.Model,
		Tier: r.Tier.Name(), Priority: int32(r.Tier.Priority()), PatienceMs: int64(r.Tier.Patience()),
		DeadlineMs: int64(remaining), Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body,
		Stream: r.Stream, Once: r.Once, IdempotencyKey: r.IdempotencyKey, RequestDigest: r.Digest,
		PromptTokens: r.PromptTokens,
	}
}

// ResponseWriter receives the response to a request. Head is called once, before the
// first Body.
type ResponseWriter interface {
	Head(status int, contentType, backendServer string) error
	Body(part []byte) error
}
