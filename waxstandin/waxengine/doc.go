// Package waxengine is a stand-in for a model engine that speaks the published
// chat-completions protocol of docs/design.md section 14.1. Its tokens follow
// from the request, so that a checker can tell whether an answer is whole and
// belongs to its request.
package waxengine
