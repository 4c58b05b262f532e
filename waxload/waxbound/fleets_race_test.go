//go:build race

package waxbound

// maxFleets is the number of fleets that run concurrently. The race detector
// makes each several times as expensive.
const maxFleets = 2
