package waxfleet

// InstanceSettings holds the settings that the platform assigns to a router
// instance.
type InstanceSettings struct {
	// Instance is the fleet-wide unique name.
	Instance      string
	FailureDomain string
	// IP is the IP address of the instance.
	IP string
	// CallerAddress is the "ip:port" for requests, ReadyAddress the one for readiness
	// probes.
	CallerAddress string
	ReadyAddress  string
	// FirstPeerPort and LastPeerPort are the inclusive port range for traffic between
	// instances.
	FirstPeerPort int
	LastPeerPort  int
	// StoreAddress is the "ip:port" of the metadata store.
	StoreAddress string
	// MemoryMB is the memory limit of the process, in MB.
	MemoryMB int
	// MaxOpenFiles is the maximum number of open file descriptors of the process.
	MaxOpenFiles int
	Bounds       FleetBounds
}

// FleetBounds holds the limits that the deployment sets for the whole fleet.
type FleetBounds struct {
	// MaxRevocationDelay is the maximum time for which a removed API key is still
	// accepted.
	MaxRevocationDelay Millis
	// MaxConfigDelay is the maximum time until a configuration change takes effect.
	MaxConfigDelay Millis
	// MaxDrainDelay is the maximum time for which a leaving server still gets new
	// requests.
	MaxDrainDelay Millis
	// TerminationGrace is the termination grace period, from SIGTERM to SIGKILL.
	TerminationGrace Millis
	// RetryRatio, RetryWindow and RetrySlack set the retry budget of a service: at most
	// RetryRatio x requests + RetrySlack retries in any RetryWindow.
	RetryRatio  float64
	RetryWindow Millis
	RetrySlack  float64
	// ColdOvershoot and ColdSlack limit the requests to a cold server: at most its
	// rate x ColdOvershoot + ColdSlack in any second.
	ColdOvershoot float64
	ColdSlack     float64
	// ExposureRatio and ExposureSlack limit the requests that a bad software version gets: at
	// most ExposureRatio x requests + ExposureSlack of its service during a rollout.
	// MaxRollbackDelay is the time after which it gets no more. They are 0 where software
	// versions are not rolled out.
	ExposureRatio    float64
	ExposureSlack    float64
	MaxRollbackDelay Millis
}

// RollsOut reports whether the deployment rolls software versions out.
func (b FleetBounds) RollsOut() bool { return b.ExposureRatio > 0 }
