package waxbound

import (
	"fmt"

	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxstandin/waxengine"
)

// Aim makes chats whose first choice is a given engine.
type Aim struct {
	workspace string
	prefix    string
	domains   []string
	engines   map[string][]string
	all       []*waxengine.Engine
	next      int
}

// NewAim returns chats of a workspace for a fleet with these engines. prefix
// keeps the chats of several sources apart.
func NewAim(workspace, prefix string, engines []*waxengine.Engine) *Aim {
	a := &Aim{workspace: workspace, prefix: prefix, engines: map[string][]string{}, all: engines}
	for _, e := range engines {
		d := e.FailureDomain()
		if len(a.engines[d]) == 0 {
			a.domains = append(a.domains, d)
		}
		a.engines[d] = append(a.engines[d], e.ID())
	}
	return a
}

// Chat returns a new chat and the engine that is its first choice.
func (a *Aim) Chat() (chat, engine string) {
	a.next++
	chat = fmt.Sprintf("%s-%d", a.prefix, a.next)
	key := a.workspace + "/" + chat
	domain := waxplace.First(key, a.domains)
	return chat, waxplace.First(key, a.engines[domain])
}

// At returns a new chat whose first choice is the engine.
func (a *Aim) At(engine string) string {
	for {
		if chat, at := a.Chat(); at == engine {
			return chat
		}
	}
}

// In returns a new chat whose first choice is in the failure domain, and its
// engine.
func (a *Aim) In(failureDomain string) (chat, engine string) {
	for {
		chat, engine := a.Chat()
		for _, id := range a.engines[failureDomain] {
			if id == engine {
				return chat, engine
			}
		}
	}
}
