package waxforward

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestCutNetworkBlamesNoPart guards against banning parts of prompts that many requests
// share, because the network between an instance and many engines is cut: each send on a
// connection that is already broken fails at once.
func TestCutNetworkBlamesNoPart(t *testing.T) {
	parts := []waxfleet.PromptPart{{ID: "popular"}, {ID: "session"}, {ID: "own"}}
	for name, c := range map[string]struct {
		sentAt, headerAt, firstEventAt, lostAt waxfleet.Millis
		traits                                 int
	}{
		"right after the send":               {sentAt: 1_000, lostAt: 1_001, traits: 1},
		"while the prompt is read":           {sentAt: 1_000, lostAt: 1_120, traits: 3},
		"when the answer begins":             {sentAt: 1_000, headerAt: 1_010, lostAt: 1_012, traits: 3},
		"after the first event":              {sentAt: 1_000, headerAt: 1_100, firstEventAt: 1_110, lostAt: 1_300, traits: 3},
		"while the answer goes on":           {sentAt: 1_000, headerAt: 1_100, firstEventAt: 1_110, lostAt: 1_700, traits: 1},
		"before the first event, much later": {sentAt: 1_000, headerAt: 1_100, lostAt: 4_000, traits: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := &requestState{
				inbound: waxfleet.RequestHead{PromptParts: parts},
				sentAt:  c.sentAt, headerAt: c.headerAt, firstEventAt: c.firstEventAt,
			}
			req.setTraits()
			traits := req.suspectTraits(c.lostAt)
			is.Equal(len(traits), c.traits)
			is.True(traits[len(traits)-1].IsRequest())
		})
	}
}
