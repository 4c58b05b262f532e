package waxpick

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func silent() bool { return true }

func heard() bool { return false }

// TestDomainHealth guards against requests that go on to one server after the other
// of a failure domain that is cut off, and against one that is left because its
// instances alone are gone, because one server is, or because nothing was sent.
func TestDomainHealth(t *testing.T) {
	is := is.New(t)
	now := waxfleet.Millis(10_000)
	var d DomainHealth
	d.Sign(now)
	now += 2_000
	is.True(!d.Suspect(now, silent)) // nothing was sent since
	d.Sent(now)
	is.True(!d.Suspect(now+unansweredTime, silent))
	is.True(d.Suspect(now+unansweredTime+1, silent))
	is.True(!d.Suspect(now+unansweredTime+1, heard)) // an instance there is heard
	is.True(!d.Suspect(now+tryTime, silent))         // one request may try again
	now += 300
	d.Sign(now)
	is.True(!d.Suspect(now, silent))

	d.TimedOut(now, "e1")
	d.TimedOut(now, "e1")
	is.True(!d.Suspect(now, heard)) // one server
	d.TimedOut(now, "e2")
	is.True(d.Suspect(now, heard))
	is.True(!d.Suspect(now+suspectTime, heard)) // tried again
	d.TimedOut(now+suspectTime, "e2")
	is.True(d.Suspect(now+suspectTime, heard))
	d.Sign(now + suspectTime)
	is.True(!d.Suspect(now+suspectTime, heard))
}

// TestDomainCutOff replays a cut: forty requests a second, a quarter of them to a
// failure domain of five servers that falls silent while all its instances do. It
// guards against more requests that are sent into the cut than those of the time
// that it takes to notice.
func TestDomainCutOff(t *testing.T) {
	is := is.New(t)
	const silentAfter = 1_200 // datagrams stop, see waxpeer
	var d DomainHealth
	cut := waxfleet.Millis(20_000)
	lost := 0
	for now := waxfleet.Millis(15_000); now < cut+5_000; now += 100 {
		if d.Suspect(now, func() bool { return now >= cut+silentAfter }) {
			continue
		}
		d.Sent(now)
		if now < cut {
			d.Sign(now + 30)
			continue
		}
		lost++
		if lost%5 == 0 { // a new connection, which times out
			d.TimedOut(now+300, fmt.Sprint(lost))
		}
	}
	is.True(lost <= silentAfter/100+1+int(5_000/tryTime))
}
