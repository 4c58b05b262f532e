package waxfleet

// InstanceSettings are the settings of one router instance on a platform that
// assigns them.
type InstanceSettings struct {
	// Instance is the name that is unique in the fleet.
	Instance      string
	FailureDomain string
	// IP is the instance's address.
	IP string
	// CallerAddress and ReadyAddress are "ip:port".
	CallerAddress string
	ReadyAddress  string
	// FirstPort and LastPort bound the ports between instances.
	FirstPort int
	LastPort  int
	// StoreAddress is "ip:port" of the metadata store.
	StoreAddress string
	MemoryMB     int
	// FileLimit is the number of descriptors that the process may open.
	FileLimit int
	Bounds    FleetBounds
}

// FleetBounds are the figures of a deployment that hold for the whole fleet.
type FleetBounds struct {
	// Revocation is how long after its removal a key may still be accepted.
	Revocation Millis
	// ConfigTime is how long a configuration may take to be in force.
	ConfigTime Millis
	// Drain is how long after its announcement a leaving server may get work.
	Drain Millis
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Millis
	// RetryRatio, RetryWindow and RetrySlack bound the repeats at a service: in
	// any window RetryRatio x requests + RetrySlack.
	RetryRatio  float64
	RetryWindow Millis
	RetrySlack  float64
	// ColdOvershoot and ColdSlack bound the requests to a cold server in any
	// second: its rate x ColdOvershoot + ColdSlack.
	ColdOvershoot float64
	ColdSlack     float64
}
