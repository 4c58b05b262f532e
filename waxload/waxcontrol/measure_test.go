package waxcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestPhasesAreCounted checks that each phase of a measurement yields figures and
// that the result survives a round trip through JSON.
func TestPhasesAreCounted(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.Routers, opts.Engines, opts.BaseRouters = []int{3}, []int{3}, 3
	opts.IdleDuration, opts.LoadedDuration, opts.ChangingDuration = time.Second, 300*time.Millisecond, 600*time.Millisecond
	opts.Streams, opts.ChangeInterval = 2, 200*time.Millisecond
	r, err := Run(context.Background(), opts)
	is.NoErr(err)
	is.Equal(len(r.Sizes), 1)
	s := r.Sizes[0]
	is.True(s.IdleRate > 0 && s.MaxIdleRate >= s.IdleRate && s.LoadedRate > 0 && s.ChangingRate > 0)
	is.True(s.Requests > 0 && s.Changes > 0 && s.ReadRate > 0)
	var out bytes.Buffer
	is.NoErr(r.WriteJSON(&out))
	var again Result
	is.NoErr(json.Unmarshal(out.Bytes(), &again))
	is.Equal(again, r)
	out.Reset()
	is.NoErr(r.WriteTable(&out))
	is.True(strings.Contains(out.String(), "B/change"))
}

// TestSlope checks that the slope is fitted over the given size.
func TestSlope(t *testing.T) {
	is := is.New(t)
	sizes := []SizeResult{
		{Routers: 3, Engines: 9, IdleRate: 1_300},
		{Routers: 7, Engines: 9, IdleRate: 1_700},
		{Routers: 14, Engines: 9, IdleRate: 2_400},
	}
	is.True(math.Abs(slope(sizes, func(s SizeResult) int { return s.Routers })-100) < 1e-9)
	is.Equal(slope(sizes[:1], func(s SizeResult) int { return s.Routers }), 0.0)
}

// TestSettingsAreChecked checks that a measurement without numbers of engines is
// rejected.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.Engines = nil
	_, err := Run(context.Background(), opts)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
