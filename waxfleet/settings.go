package waxfleet

// InstanceSettings holds the settings that the platform assigns to a router
// instance.
type InstanceSettings struct {
	// Instance is the fleet-wide unique name.
	Instance      string
	FailureDomain string
	// IP is the IP address of the instance.
	IP string
	// CallerAddress is the "ip:port" for requests, ReadyAddress the one for
	// readiness checks.
	CallerAddress string
	ReadyAddress  string
	// FirstPort and LastPort are the inclusive port range for traffic between
	// instances.
	FirstPort int
	LastPort  int
	// StoreAddress is the "ip:port" of the metadata store.
	StoreAddress string
	MemoryMB     int
	// FileLimit is the maximum number of open file descriptors of the process.
	FileLimit int
	Bounds    FleetBounds
}

// FleetBounds holds the limits that the deployment sets for the whole fleet.
type FleetBounds struct {
	// Revocation is the maximum time that an API key is accepted after its removal.
	Revocation Millis
	// ConfigTime is the maximum time until a configuration change takes effect.
	ConfigTime Millis
	// Drain is the maximum time that a leaving server gets new requests after its
	// announcement.
	Drain Millis
	// Grace is the termination grace period, from SIGTERM to SIGKILL.
	Grace Millis
	// RetryRatio, RetryWindow and RetrySlack are the retry budget of a service: at
	// most RetryRatio x requests + RetrySlack retries in any RetryWindow.
	RetryRatio  float64
	RetryWindow Millis
	RetrySlack  float64
	// ColdOvershoot and ColdSlack limit the requests to a cold server: at most its
	// rate x ColdOvershoot + ColdSlack in any second.
	ColdOvershoot float64
	ColdSlack     float64
}
