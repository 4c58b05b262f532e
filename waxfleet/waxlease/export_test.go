package waxlease

// Exported for tests that drive a keeper step by step, without its goroutines.
var (
	NewIdleKeeper = newKeeper
	Renew         = (*Keeper).renew
	Reconcile     = (*Keeper).reconcile
)
