// Package waxnode assembles one router instance.
package waxnode

import (
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"

	"waxwingdrift.org/waxfleet"
)

// Settings are the settings of one instance. Each has a flag of the router and
// an environment variable.
type Settings struct {
	// InstanceID is the name in the platform's instance list.
	InstanceID string
	// FailureDomain is where the instance runs.
	FailureDomain string
	// CallerAddress is "ip:port" for callers; port 0 picks a free one.
	CallerAddress string
	// PeerAddress is "ip:port" for other instances; port 0 picks a free one.
	PeerAddress string
	// PlatformAddress is "ip:port" of the Object API.
	PlatformAddress string
	// SeedPeers are known instances, "id=failure-domain=ip:port", for a start
	// without the platform.
	SeedPeers []string
	// ProgressTimeout is how long a stream may be silent.
	ProgressTimeout waxfleet.Millis
	// ListInterval is the time between reads of the instance list.
	ListInterval waxfleet.Millis
	// Exceptions is the size of the table of chats away from their first choice.
	Exceptions int
	// Records is the number of requests whose decisions are kept.
	Records int
	// TraceWriter receives spans as JSON; nil turns tracing off.
	TraceWriter io.Writer
	// Hooks replace parts; the router sets none.
	Hooks Hooks
}

// Defaults of the settings.
const (
	DefaultProgressTimeout waxfleet.Millis = 5_000
	DefaultListInterval    waxfleet.Millis = 1_000
	DefaultExceptions                      = 100_000
	DefaultRecords                         = 2_000
)

const (
	minProgressTimeout waxfleet.Millis = 100
	maxProgressTimeout waxfleet.Millis = 600_000
	minListInterval    waxfleet.Millis = 100
	maxListInterval    waxfleet.Millis = 60_000
	maxTableSize                       = 10_000_000
)

var nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate checks all settings. The error names the flag, the value and what is
// allowed.
func (s Settings) Validate() error {
	for _, n := range []struct{ flag, value string }{
		{"instance-id", s.InstanceID}, {"failure-domain", s.FailureDomain},
	} {
		if !nameRule.MatchString(n.value) {
			return invalid(n.flag, n.value, "a kebab-case name of 1 to 63 letters, digits and dashes")
		}
	}
	for _, a := range []struct{ flag, value string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress}, {"platform-address", s.PlatformAddress},
	} {
		if !isAddress(a.value) {
			return invalid(a.flag, a.value, "ip:port with a numeric IP address and a port from 0 to 65535")
		}
	}
	for _, p := range s.SeedPeers {
		if _, err := parseSeed(p); err != nil {
			return err
		}
	}
	if s.ProgressTimeout < minProgressTimeout || s.ProgressTimeout > maxProgressTimeout {
		return invalid("progress-timeout-ms", strconv.FormatInt(int64(s.ProgressTimeout), 10), "100 to 600000")
	}
	if s.ListInterval < minListInterval || s.ListInterval > maxListInterval {
		return invalid("list-interval-ms", strconv.FormatInt(int64(s.ListInterval), 10), "100 to 60000")
	}
	for _, n := range []struct {
		flag  string
		value int
	}{{"exceptions", s.Exceptions}, {"records", s.Records}} {
		if n.value < 1 || n.value > maxTableSize {
			return invalid(n.flag, strconv.Itoa(n.value), "1 to 10000000")
		}
	}
	return nil
}

func invalid(flag, value, allowed string) error {
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

func parseSeed(s string) (waxfleet.Instance, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 || !nameRule.MatchString(parts[0]) || !nameRule.MatchString(parts[1]) || !isAddress(parts[2]) {
		return waxfleet.Instance{}, invalid("seed-peers", s, "id=failure-domain=ip:port")
	}
	return waxfleet.NewInstance(parts[0], parts[1], parts[2], waxfleet.StateLive), nil
}
