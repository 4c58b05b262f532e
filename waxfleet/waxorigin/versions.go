package waxorigin

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// versionMemory is how long a version is remembered after its last server has left. It
	// exceeds the time for which callers take a stream up.
	versionMemory waxfleet.Millis = 120_000
	// forgottenPeriod is the time after the last server has left for which a version counts as
	// known: a text that still names it does not bring it back.
	forgottenPeriod waxfleet.Millis = 3_600_000
)

// usage is the use of a software version by a service.
type usage struct {
	// listed is true while a server of the version is listed. Otherwise lastListed is the
	// time at which the last one was.
	listed     bool
	lastListed waxfleet.Millis
}

// within reports whether a server of the version was listed within the last age.
func (u usage) within(age, now waxfleet.Millis) bool { return u.listed || now-u.lastListed <= age }

// Versions holds the software versions that were in use lately, by service. Its text form
// outlasts the process: an instance that has started can't see the versions whose servers
// left while it was down. It is safe for concurrent use.
type Versions struct {
	clock *waxfleet.Clock

	mu       sync.Mutex
	services map[string]map[string]usage
	// ambiguous holds the services of which several versions were remembered at the last
	// call of Observe.
	ambiguous map[string]bool
	restored  bool
}

// NewVersions returns a Versions that knows nothing of the time before.
func NewVersions(clock *waxfleet.Clock) *Versions {
	return &Versions{clock: clock, services: map[string]map[string]usage{}, ambiguous: map[string]bool{}}
}

// Observe replaces the listed servers. It returns the services in which a second version
// may now have begun streams.
func (v *Versions) Observe(servers []waxfleet.BackendServerEntry) (ambiguous []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, versions := range v.services {
		for version, u := range versions {
			if u.listed {
				versions[version] = usage{lastListed: now}
			}
		}
	}
	for _, e := range servers {
		v.usages(e.Server().Service())[e.SoftwareVersion()] = usage{listed: true}
	}
	for service, versions := range v.services {
		maps.DeleteFunc(versions, func(_ string, u usage) bool { return !u.within(forgottenPeriod, now) })
		several := len(v.remembered(service)) >= 2
		if several && !v.ambiguous[service] {
			ambiguous = append(ambiguous, service)
		}
		v.ambiguous[service] = several
		if len(versions) == 0 {
			delete(v.services, service)
			delete(v.ambiguous, service)
		}
	}
	return ambiguous
}

// remembered returns the versions of a service that are remembered, in order. The caller holds
// the lock.
func (v *Versions) remembered(service string) []string {
	var versions []string
	now := v.clock.Now()
	for version, u := range v.services[service] {
		if u.within(versionMemory-1, now) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// usages returns the versions of a service. The caller holds the lock.
func (v *Versions) usages(service string) map[string]usage {
	if v.services[service] == nil {
		v.services[service] = map[string]usage{}
	}
	return v.services[service]
}

// Possible returns the versions that may have begun a stream of the service at most maxAge
// ago. It reports false before Restore was called.
func (v *Versions) Possible(service string, maxAge waxfleet.Millis) (versions []string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for version, u := range v.services[service] {
		if u.within(maxAge, now) {
			versions = append(versions, version)
		}
	}
	return versions, v.restored
}

// Ambiguous reports whether several versions may have begun a stream of the service that is
// unknown.
func (v *Versions) Ambiguous(service string, maxAge waxfleet.Millis) bool {
	versions, ok := v.Possible(service, maxAge)
	return !ok || len(versions) != 1
}

// Restore adds the versions of all texts that instances have written, maybe before this one
// started. From then on, the versions that may have begun a stream are known.
func (v *Versions) Restore(texts []string) {
	v.Learn(texts)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restored = true
}

// Learn adds the versions of texts that other instances have written, but for those that this
// one has known before: a text may name what this instance has forgotten.
func (v *Versions) Learn(texts []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, text := range texts {
		var services map[string][]string
		if err := json.Unmarshal([]byte(text), &services); err != nil {
			continue // written by another version of this program
		}
		for service, versions := range services {
			for _, version := range versions {
				if _, known := v.usages(service)[version]; !known {
					v.services[service][version] = usage{lastListed: v.clock.Now()}
				}
			}
		}
	}
}

// Encode returns the versions as text. It changes only with them.
func (v *Versions) Encode() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	services := map[string][]string{}
	for service := range v.services {
		if versions := v.remembered(service); len(versions) > 0 {
			services[service] = versions
		}
	}
	if len(services) == 0 {
		return ""
	}
	text, err := json.Marshal(services)
	if err != nil {
		return ""
	}
	return string(text)
}
