//go:build !race

package waxbound

// fleets is the number of fleets that run at a time.
const fleets = 6
