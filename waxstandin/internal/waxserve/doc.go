// Package waxserve provides the HTTP server of the fake servers. To simulate a failing
// process it can refuse connections, reset them and make them go silent.
package waxserve
