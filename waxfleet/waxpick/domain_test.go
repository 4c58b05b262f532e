package waxpick

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func instancesSilent() bool { return true }

func instancesHeard() bool { return false }

// TestDomainHealth guards against requests that try one server after the other
// of a partitioned failure domain, and against a domain that is suspected only
// because its router instances are gone, one server is gone, or no request was
// sent.
func TestDomainHealth(t *testing.T) {
	is := is.New(t)
	now := waxfleet.Millis(10_000)
	var d DomainHealth
	d.RecordActivity(now)
	now += 2_000
	is.True(!d.Suspected(now, instancesSilent)) // no request since the last activity
	d.RecordSent(now)
	is.True(!d.Suspected(now+unansweredTimeout, instancesSilent))
	is.True(d.Suspected(now+unansweredTimeout+1, instancesSilent))
	is.True(!d.Suspected(now+unansweredTimeout+1, instancesHeard)) // an instance of the domain is heard
	is.True(!d.Suspected(now+probeInterval, instancesSilent))      // probe
	now += 300
	d.RecordActivity(now)
	is.True(!d.Suspected(now, instancesSilent))

	d.RecordTimeout(now, "e1")
	d.RecordTimeout(now, "e1")
	is.True(!d.Suspected(now, instancesHeard)) // a single server
	d.RecordTimeout(now, "e2")
	is.True(d.Suspected(now, instancesHeard))
	is.True(!d.Suspected(now+suspectDuration, instancesHeard)) // the suspicion has expired
	d.RecordTimeout(now+suspectDuration, "e2")
	is.True(d.Suspected(now+suspectDuration, instancesHeard))
	d.RecordActivity(now + suspectDuration)
	is.True(!d.Suspected(now+suspectDuration, instancesHeard))
}

// TestDomainCutOff simulates a partition: a failure domain with a quarter of 40
// requests per second falls silent together with its instances. It guards
// against more lost requests than the detection time and the probes account
// for.
func TestDomainCutOff(t *testing.T) {
	is := is.New(t)
	const silentAfter = 1_200 // time until waxpeer reports the instances as silent, in ms
	var d DomainHealth
	cut := waxfleet.Millis(20_000)
	lost := 0
	for now := waxfleet.Millis(15_000); now < cut+5_000; now += 100 {
		if d.Suspected(now, func() bool { return now >= cut+silentAfter }) {
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
	is.True(lost <= silentAfter/100+1+int(5_000/probeInterval))
}
