// Package waxengine provides a fake model engine that speaks the chat-completions
// protocol of docs/design.md section 14.1. Its tokens are a function of the request,
// so that a checker can tell whether a response is complete and belongs to its
// request.
package waxengine
