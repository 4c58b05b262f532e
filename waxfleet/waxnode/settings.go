// Package waxnode runs one router instance.
package waxnode

import (
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"

	"waxwingdrift.org/waxfleet"
)

// Settings are the settings of one instance. All but Hooks are set by
// a flag of the router or an environment variable.
type Settings struct {
	// InstanceID is the instance's name in the platform's instance list.
	InstanceID string
	// FailureDomain is the name of the failure domain that the instance runs in.
	FailureDomain string
	// CallerAddress is the "ip:port" to listen on for callers; port 0 selects a
	// free port.
	CallerAddress string
	// PeerAddress is the "ip:port" to listen on for other instances; port 0 selects
	// a free port.
	PeerAddress string
	// PlatformAddress is the "ip:port" of the platform's Object API.
	PlatformAddress string
	// SeedPeers are the peers, as "id=failure-domain=ip:port", that the instance
	// knows when it starts while the platform is unreachable.
	SeedPeers []string
	// ProgressTimeout is the time without a byte from a backend server after which
	// it is probed.
	ProgressTimeout waxfleet.Millis
	// ListInterval is the interval at which the instance list is read.
	ListInterval waxfleet.Millis
	// MaxExceptions is the capacity of the table of chats that are placed away from
	// their first choice.
	MaxExceptions int
	// MaxRecords is the number of recent requests whose routing decisions are kept.
	MaxRecords int
	// MemoryMB is the memory limit of the process in MB, and MaxOpenFiles the maximum number of
	// its descriptors. What callers make it hold is bounded by a part of them; 0 means
	// unlimited.
	MemoryMB, MaxOpenFiles int
	// TraceWriter receives trace spans as JSON; nil disables tracing.
	TraceWriter io.Writer
	// Hooks replace components for tests; the router sets none.
	Hooks Hooks
}

// Default values of settings.
const (
	DefaultProgressTimeout waxfleet.Millis = 5_000
	DefaultListInterval    waxfleet.Millis = 1_000
	DefaultMaxExceptions                   = 100_000
	DefaultMaxRecords                      = 2_000
	DefaultMemoryMB                        = 1_024
	DefaultMaxOpenFiles                    = 4_096
)

const (
	minProgressTimeout waxfleet.Millis = 100
	maxProgressTimeout waxfleet.Millis = 600_000
	minListInterval    waxfleet.Millis = 100
	maxListInterval    waxfleet.Millis = 60_000
	maxTableSize                       = 10_000_000
	maxMemoryMB                        = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate returns CodeSettingInvalid for the first invalid setting. The message
// names the flag, the value and the allowed values.
func (s Settings) Validate() error {
	for _, n := range []struct{ flag, value string }{
		{"instance-id", s.InstanceID}, {"failure-domain", s.FailureDomain},
	} {
		if !namePattern.MatchString(n.value) {
			return invalidSetting(n.flag, n.value, "a kebab-case name of 1 to 63 letters, digits and dashes")
		}
	}
	for _, a := range []struct{ flag, value string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress}, {"platform-address", s.PlatformAddress},
	} {
		if !isAddress(a.value) {
			return invalidSetting(a.flag, a.value, "ip:port with a numeric IP address and a port from 0 to 65535")
		}
	}
	for _, p := range s.SeedPeers {
		if _, err := parseSeedPeer(p); err != nil {
			return err
		}
	}
	if s.ProgressTimeout < minProgressTimeout || s.ProgressTimeout > maxProgressTimeout {
		return invalidSetting("progress-timeout-ms", strconv.FormatInt(int64(s.ProgressTimeout), 10), "100 to 600000")
	}
	if s.ListInterval < minListInterval || s.ListInterval > maxListInterval {
		return invalidSetting("list-interval-ms", strconv.FormatInt(int64(s.ListInterval), 10), "100 to 60000")
	}
	for _, n := range []struct {
		flag  string
		value int
	}{{"exceptions", s.MaxExceptions}, {"records", s.MaxRecords}} {
		if n.value < 1 || n.value > maxTableSize {
			return invalidSetting(n.flag, strconv.Itoa(n.value), "1 to 10000000")
		}
	}
	if s.MemoryMB < 0 || s.MemoryMB > maxMemoryMB {
		return invalidSetting("memory-mb", strconv.Itoa(s.MemoryMB), "0 to 1048576")
	}
	if s.MaxOpenFiles < 0 || s.MaxOpenFiles > maxTableSize {
		return invalidSetting("max-open-files", strconv.Itoa(s.MaxOpenFiles), "0 to 10000000")
	}
	return nil
}

func invalidSetting(flag, value, allowed string) error {
	return waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s is %q; allowed: %s", flag, value, allowed)
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

func parseSeedPeer(s string) (waxfleet.Instance, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 || !namePattern.MatchString(parts[0]) || !namePattern.MatchString(parts[1]) || !isAddress(parts[2]) {
		return waxfleet.Instance{}, invalidSetting("seed-peers", s, "id=failure-domain=ip:port")
	}
	return waxfleet.NewInstance(parts[0], parts[1], parts[2], waxfleet.StateLive), nil
}
