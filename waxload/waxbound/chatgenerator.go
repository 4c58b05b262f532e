package waxbound

import (
	"fmt"

	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxstandin/waxengine"
)

// ChatGenerator generates chats for which the first-choice engine is known.
type ChatGenerator struct {
	workspace string
	prefix    string
	domains   []string
	engines   map[string][]string
	all       []*waxengine.Engine
	count     int
}

// NewChatGenerator returns a generator of chats of a workspace for a fleet with
// these engines. Generators with different prefixes return different chats.
func NewChatGenerator(workspace, prefix string, engines []*waxengine.Engine) *ChatGenerator {
	g := &ChatGenerator{workspace: workspace, prefix: prefix, engines: map[string][]string{}, all: engines}
	for _, e := range engines {
		d := e.FailureDomain()
		if len(g.engines[d]) == 0 {
			g.domains = append(g.domains, d)
		}
		g.engines[d] = append(g.engines[d], e.ID())
	}
	return g
}

// Next returns a new chat and its first-choice engine.
func (g *ChatGenerator) Next() (chat, engine string) {
	g.count++
	chat = fmt.Sprintf("%s-%d", g.prefix, g.count)
	key := g.workspace + "/" + chat
	domain := waxplace.First(key, g.domains)
	return chat, waxplace.First(key, g.engines[domain])
}

// NextFor returns a new chat whose first-choice engine is engine.
func (g *ChatGenerator) NextFor(engine string) string {
	for {
		if chat, at := g.Next(); at == engine {
			return chat
		}
	}
}

// NextIn returns a new chat whose first-choice engine is in failureDomain, and
// that engine.
func (g *ChatGenerator) NextIn(failureDomain string) (chat, engine string) {
	for {
		chat, engine := g.Next()
		for _, id := range g.engines[failureDomain] {
			if id == engine {
				return chat, engine
			}
		}
	}
}
