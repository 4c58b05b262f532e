// Package waxservice is a stand-in for a server of a plain service. It counts
// how often each call ran, so that a checker can find calls that ran twice.
package waxservice
