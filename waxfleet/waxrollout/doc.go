// Package waxrollout decides how the traffic of a service moves to a new software version:
// which share of the requests the version gets, whether it is good, and when the old version
// may stop. It does no I/O. The design is in docs/design/rollouts.md.
//
// Each instance has, for each service with an order, a Split and a Budget that say where a
// request goes, a Ledger that counts the outcomes of all instances, and an Evaluator that
// compares the two versions. One instance, the holder of a lease in the stored Record, has
// the say: its Controller writes the phase and the share.
package waxrollout
