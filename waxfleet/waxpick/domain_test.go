package waxpick

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func instancesUnreachable() bool { return true }

func instancesReachable() bool { return false }

// TestDomainHealth guards against requests that try one server after the other
// of a partitioned failure domain. It also guards against a domain that is
// suspected only because its router instances have stopped, one server has
// failed, or no request was sent.
func TestDomainHealth(t *testing.T) {
	is := is.New(t)
	now := waxfleet.Millis(10_000)
	var d DomainHealth
	d.RecordActivity(now)
	now += 2_000
	is.True(!d.Suspected(now, instancesUnreachable)) // no request since the last activity
	d.RecordSent(now)
	is.True(!d.Suspected(now+unansweredTimeout, instancesUnreachable))
	is.True(d.Suspected(now+unansweredTimeout+1, instancesUnreachable))
	is.True(!d.Suspected(now+unansweredTimeout+1, instancesReachable)) // an instance of the domain is reachable
	is.True(!d.Suspected(now+probeInterval, instancesUnreachable))     // probe
	now += 300
	d.RecordActivity(now)
	is.True(!d.Suspected(now, instancesUnreachable))

	d.RecordTimeout(now, "e1")
	d.RecordTimeout(now, "e1")
	is.True(!d.Suspected(now, instancesReachable)) // a single server
	d.RecordTimeout(now, "e2")
	is.True(d.Suspected(now, instancesReachable))
	is.True(!d.Suspected(now+suspicionTTL, instancesReachable)) // the suspicion has expired
	d.RecordTimeout(now+suspicionTTL, "e2")
	is.True(d.Suspected(now+suspicionTTL, instancesReachable))
	d.RecordActivity(now + suspicionTTL)
	is.True(!d.Suspected(now+suspicionTTL, instancesReachable))
}

// TestDomainCutOff simulates a partition: a failure domain that gets 10
// requests per second is unreachable together with its instances. It guards
// against more lost requests than the detection time and the probes account
// for.
func TestDomainCutOff(t *testing.T) {
	is := is.New(t)
	const instanceTimeout = 1_200 // time until waxpeer reports the instances as unreachable, in ms
	var d DomainHealth
	cut := waxfleet.Millis(20_000)
	lost := 0
	for now := waxfleet.Millis(15_000); now < cut+5_000; now += 100 {
		if d.Suspected(now, func() bool { return now >= cut+instanceTimeout }) {
			continue
		}
		d.RecordSent(now)
		if now < cut {
			d.RecordActivity(now + 30)
			continue
		}
		lost++
		if lost%5 == 0 { // a new connection, which times out
			d.RecordTimeout(now+300, fmt.Sprint(lost))
		}
	}
	is.True(lost <= instanceTimeout/100+1+int(5_000/probeInterval))
}
