//go:build race

package waxbound

// fleets is the number of fleets that run at a time. The race detector makes
// each several times as expensive.
const fleets = 2
