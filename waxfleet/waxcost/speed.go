package waxcost

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxSpeeds is the maximum number of servers and services with a speed.
	maxSpeeds = 4_096
	// smallPromptTokens is the number of prompt tokens below which the time to the first event
	// is mostly that of the network and of one step. Above it shows how fast prompts are read;
	// below fullPromptTokens with less weight, because the network and the resolution of the
	// clock make up more of it. Engines rarely read more than the own part of a prompt, of 360
	// or 580 tokens: an instance of 84 sees a longer one every ten seconds.
	smallPromptTokens = 300
	fullPromptTokens  = 1_000
	// minEvents is the number of events from which the times between them are used.
	minEvents = 8
	// scale is applied to values before they are recorded, because a distribution starts at 1:
	// times are kept in µs, and speeds in tokens per second.
	scale = 1_000.0
)

// Speed is the speed of a server at the usual pace.
type Speed struct {
	// Overhead is the time to the first event of an empty prompt at an idle server, in ms.
	Overhead float64
	// TokensPerMilli is the number of prompt tokens that are read in a ms.
	TokensPerMilli float64
	// MillisPerEvent is the time between two events.
	MillisPerEvent float64
}

// Read returns the time in ms in which the server reads prompt tokens at a pace.
func (s Speed) Read(tokens, pace float64) float64 { return pace * tokens / s.TokensPerMilli }

// speeds is what was learned of a server or a service.
type speeds struct {
	overhead, reading, events distribution
}

// speedKey is a server of a service; the service as a whole if server is 0.
type speedKey struct {
	service string
	server  uint32
}

// Speeds learns the speeds of servers from the times that responses take. It keeps medians:
// a request that waits for others, or a server that stands still, says nothing of the speed.
// It isn't safe for concurrent use.
type Speeds struct {
	keys *simplelru.LRU[speedKey, *speeds]
}

// NewSpeeds returns a Speeds without any observation.
func NewSpeeds() *Speeds {
	keys, _ := simplelru.NewLRU[speedKey, *speeds](maxSpeeds, nil) // fails only for a size of 0
	return &Speeds{keys: keys}
}

// record calls add for the server and for its service.
func (s *Speeds) record(service string, server uint32, add func(*speeds)) {
	for _, key := range [2]speedKey{{service, server}, {service, 0}} {
		v, ok := s.keys.Get(key)
		if !ok {
			v = &speeds{}
			s.keys.Add(key, v)
		}
		add(v)
	}
}

// RecordFirstEvent records the time from sending a request to its first event, during which
// the server has read about tokens prompt tokens. The request has not waited for a slot.
func (s *Speeds) RecordFirstEvent(now waxfleet.Millis, service string, server uint32, tokens, took, pace float64) {
	if !(took >= 0 && pace > 0 && tokens >= 0) {
		return
	}
	took = max(took, 1) / pace
	s.record(service, server, func(v *speeds) {
		if tokens < smallPromptTokens {
			v.overhead.record(now, scale*took, 1)
			return
		}
		reading := max(took-v.overhead.middle()/scale, 1)
		v.reading.record(now, scale*tokens/reading, min(tokens/fullPromptTokens, 1))
	})
}

// RecordEvents records the time from the first event of a response to its last one.
func (s *Speeds) RecordEvents(now waxfleet.Millis, service string, server uint32, events int, took, pace float64) {
	if events < minEvents || !(took >= 0 && pace > 0) {
		return
	}
	s.record(service, server, func(v *speeds) {
		v.events.record(now, scale*took/pace/float64(events-1), 1)
	})
}

// Speed returns the speed of a server, as far as the responses of the server or else of its
// service show it; ok is false until it is learned how fast prompts are read.
func (s *Speeds) Speed(service string, server uint32) (speed Speed, ok bool) {
	own, _ := s.keys.Peek(speedKey{service, server})
	all, _ := s.keys.Peek(speedKey{service, 0})
	median := func(part func(*speeds) *distribution) float64 {
		for _, v := range [2]*speeds{own, all} {
			if v != nil && part(v).weight >= minWeight {
				return part(v).middle() / scale
			}
		}
		return 0
	}
	speed = Speed{
		Overhead:       median(func(v *speeds) *distribution { return &v.overhead }),
		TokensPerMilli: median(func(v *speeds) *distribution { return &v.reading }),
		MillisPerEvent: median(func(v *speeds) *distribution { return &v.events }),
	}
	return speed, speed.TokensPerMilli > 0
}
