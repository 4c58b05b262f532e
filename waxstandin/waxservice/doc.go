// Package waxservice provides a fake server of a plain service. It counts the
// executions of each request, so that a checker can find duplicate executions.
package waxservice
