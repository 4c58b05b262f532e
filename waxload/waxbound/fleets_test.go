//go:build !race

package waxbound

// maxFleets is the number of fleets that run concurrently.
const maxFleets = 6
