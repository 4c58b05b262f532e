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

// Guards against a measurement that counts the bytes of calls as control traffic
// or misses a phase.
func TestPhasesAreCounted(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.Routers, opts.Engines, opts.BaseRouters = []int{3}, []int{3}, 3
	opts.Idle, opts.Loaded, opts.Changing = time.Second, 300*time.Millisecond, 600*time.Millisecond
	opts.Streams, opts.ChangeEvery = 2, 200*time.Millisecond
	r, err := Run(context.Background(), opts)
	is.NoErr(err)
	is.Equal(len(r.Sizes), 1)
	s := r.Sizes[0]
	is.True(s.Idle > 0 && s.IdleMax >= s.Idle && s.Loaded > 0 && s.Changing > 0)
	is.True(s.Requests > 0 && s.Changes > 0 && s.Reads > 0)
	var out bytes.Buffer
	is.NoErr(r.WriteJSON(&out))
	var again Result
	is.NoErr(json.Unmarshal(out.Bytes(), &again))
	is.Equal(again, r)
	out.Reset()
	is.NoErr(r.WriteTable(&out))
	is.True(strings.Contains(out.String(), "B/change"))
}

// Guards against a slope over the wrong quantity.
func TestSlope(t *testing.T) {
	is := is.New(t)
	sizes := []Size{{Routers: 3, Engines: 9, Idle: 1_300}, {Routers: 7, Engines: 9, Idle: 1_700}, {Routers: 14, Engines: 9, Idle: 2_400}}
	is.True(math.Abs(slope(sizes, func(s Size) int { return s.Routers })-100) < 1e-9)
	is.Equal(slope(sizes[:1], func(s Size) int { return s.Routers }), 0.0)
}

// Guards against a run without sizes.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.Engines = nil
	_, err := Run(context.Background(), opts)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
