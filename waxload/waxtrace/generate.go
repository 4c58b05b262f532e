package waxtrace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"

	"waxwingdrift.org/waxfleet"
)

// Burst multiplies the request rate by Factor from Start on, for Duration. An
// empty Workspace means all workspaces.
type Burst struct {
	Workspace string
	Start     waxfleet.Millis
	Duration  waxfleet.Millis
	Factor    float64
}

// TierWeight is the share of chats in a price tier, relative to the other weights.
type TierWeight struct {
	Tier   string
	Weight float64
}

// Options describes a trace to generate. Rates and durations are in trace time.
type Options struct {
	Seed     uint64
	Duration waxfleet.Millis
	// Rate is the mean number of chat requests per second outside bursts.
	Rate       float64
	Workspaces int
	// ZipfExponent is the exponent of the Zipf distribution of requests over
	// workspaces.
	ZipfExponent float64
	// MeanTurns is the mean number of turns of a chat.
	MeanTurns float64
	// MedianThinkTime and ThinkTimeSigma are the parameters of the log-normal think
	// time, which passes between a response and the next turn of its chat.
	// ThinkTimeDivisor divides the median.
	MedianThinkTime  waxfleet.Millis
	ThinkTimeSigma   float64
	ThinkTimeDivisor float64
	// FirstTurnTokens and LaterTurnTokens are the median numbers of tokens that the
	// first and each later turn add to the prompt. OutputTokens is the median length of
	// a response. All are log-normal with LengthSigma.
	FirstTurnTokens float64
	LaterTurnTokens float64
	OutputTokens    float64
	LengthSigma     float64
	// SystemPromptBlocks is the length, in blocks, of the prompt prefix that all
	// chats of a workspace share.
	SystemPromptBlocks int
	Tiers              []TierWeight
	Bursts             []Burst
	// AtMostOnceRate is the mean number of at-most-once calls per second.
	AtMostOnceRate float64
}

// DefaultOptions returns the options of a trace of 30 minutes with 10 workspaces
// and 30 chat requests per second.
func DefaultOptions() Options {
	return Options{
		Seed:               1,
		Duration:           30 * minute,
		Rate:               30,
		Workspaces:         10,
		ZipfExponent:       1,
		MeanTurns:          6,
		MedianThinkTime:    3 * minute,
		ThinkTimeSigma:     1,
		ThinkTimeDivisor:   1,
		FirstTurnTokens:    700,
		LaterTurnTokens:    150,
		OutputTokens:       160,
		LengthSigma:        0.7,
		SystemPromptBlocks: 1,
		Tiers:              []TierWeight{{"express", 0.2}, {"standard", 0.5}, {"patient", 0.25}, {"overnight", 0.05}},
	}
}

const (
	minute = 60 * 1000 * waxfleet.Millis(1)
	// responseMillis is the assumed duration of a response, which precedes the think
	// time.
	responseMillis = 5000.0
	// warmupChatLengths is the warm-up before the recorded interval, in which chats
	// already start, as a multiple of the mean duration of a chat.
	warmupChatLengths = 3
	// burstThinkTimeDivisor shortens the think time of the additional chats of a
	// burst, so that their next turns fall within it.
	burstThinkTimeDivisor = 10.0
	// maxPromptTokens and maxTurns limit the length of a chat.
	maxPromptTokens = 100_000
	maxTurns        = 200
)

// WorkspaceName returns the name of the i-th largest workspace, from 0.
func WorkspaceName(i int) string { return fmt.Sprintf("ws-%02d", i+1) }

// PeriodicBursts returns bursts of all workspaces for a trace of the duration. The
// first starts after half a period. A period that is not positive gives none.
func PeriodicBursts(duration, period, burstDuration waxfleet.Millis, factor float64) []Burst {
	var bursts []Burst
	if period <= 0 {
		return nil
	}
	for start := period / 2; start < duration; start += period {
		bursts = append(bursts, Burst{Start: start, Duration: burstDuration, Factor: factor})
	}
	return bursts
}

// generator holds the state of one Generate call. lastHashID is the last assigned
// hash ID.
type generator struct {
	opts       Options
	rng        *rand.Rand
	src        *rand.PCG
	records    []Record
	lastHashID uint64
	chatCount  int
}

// Generate returns a trace in the order of timestamps. Equal options give equal
// records. Invalid options give an error with CodeSettingInvalid.
func Generate(opts Options) ([]Record, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	src := rand.NewPCG(opts.Seed, 0x7761786c6f6164)
	g := &generator{opts: opts, src: src, rng: rand.New(src)}
	g.lastHashID = uint64(opts.Workspaces*opts.SystemPromptBlocks) + 1
	shares := zipfShares(opts.Workspaces, opts.ZipfExponent)
	for workspace, share := range shares {
		g.addChats(workspace, share*opts.Rate, 0, opts.Duration, opts.ThinkTimeDivisor)
	}
	for _, b := range opts.Bursts {
		for workspace, share := range shares {
			if b.Workspace == "" || b.Workspace == WorkspaceName(workspace) {
				end := min(b.Start+b.Duration, opts.Duration)
				g.addChats(workspace, share*opts.Rate*(b.Factor-1), b.Start, end, opts.ThinkTimeDivisor*burstThinkTimeDivisor)
			}
		}
	}
	g.addAtMostOnceCalls(shares)
	sort.SliceStable(g.records, func(i, j int) bool { return g.records[i].Timestamp < g.records[j].Timestamp })
	return g.records, nil
}

func (o Options) validate() error {
	switch {
	case o.Duration <= 0, o.Rate < 0, o.AtMostOnceRate < 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: duration must be positive and rates not negative")
	case o.Workspaces < 1, o.MeanTurns < 1, o.ThinkTimeDivisor <= 0, o.MedianThinkTime <= 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: workspaces, mean turns, compress and think time must be positive")
	case o.FirstTurnTokens < 1, o.LaterTurnTokens < 1, o.OutputTokens < 1, o.SystemPromptBlocks < 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: token counts must be positive")
	case len(o.Tiers) == 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: no tiers")
	}
	for _, b := range o.Bursts {
		if b.Factor < 1 || b.Duration <= 0 || b.Start < 0 {
			return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: a burst needs a factor of at least 1, a positive duration and a start that is not negative")
		}
	}
	return nil
}

// meanChatMillis returns the mean duration of a chat in ms.
func (g *generator) meanChatMillis(thinkTimeDivisor float64) float64 {
	meanThinkTime := float64(g.opts.MedianThinkTime) * math.Exp(g.opts.ThinkTimeSigma*g.opts.ThinkTimeSigma/2) / thinkTimeDivisor
	return g.opts.MeanTurns * (meanThinkTime + responseMillis)
}

// addChats adds the requests in [from, to) of the chats of a workspace. Chats
// start as a Poisson process that begins before from, so that the request rate is in
// steady state at from. rate is in requests per second.
func (g *generator) addChats(workspace int, rate float64, from, to waxfleet.Millis, thinkTimeDivisor float64) {
	if rate <= 0 {
		return
	}
	interarrival := distuv.Exponential{Rate: rate / g.opts.MeanTurns / 1000, Src: g.src}
	warmup := warmupChatLengths * g.meanChatMillis(thinkTimeDivisor)
	for start := float64(from) - warmup + interarrival.Rand(); start < float64(to); start += interarrival.Rand() {
		g.addChat(workspace, start, thinkTimeDivisor, float64(from), float64(to))
	}
}

// addChat adds the requests in [from, to) of one chat. at is the start of the chat.
func (g *generator) addChat(workspace int, at, thinkTimeDivisor, from, to float64) {
	o := g.opts
	g.chatCount++
	name := fmt.Sprintf("chat-%06d", g.chatCount)
	tier := g.randomTier()
	thinkTime := distuv.LogNormal{Mu: math.Log(float64(o.MedianThinkTime) / thinkTimeDivisor), Sigma: o.ThinkTimeSigma, Src: g.src}
	prefix := make([]uint64, o.SystemPromptBlocks)
	for i := range prefix {
		prefix[i] = uint64(workspace*o.SystemPromptBlocks + i + 1)
	}
	length := o.SystemPromptBlocks*BlockTokens + g.randomTokens(o.FirstTurnTokens)
	for turn := 0; turn < maxTurns && at < to && length <= maxPromptTokens; turn++ {
		for len(prefix) < length/BlockTokens {
			prefix = append(prefix, g.newHashID())
		}
		output := g.randomTokens(o.OutputTokens)
		if at >= from {
			g.records = append(g.records, Record{
				Timestamp:    waxfleet.Millis(at),
				InputLength:  length,
				OutputLength: output,
				HashIDs:      g.hashIDs(prefix, length),
				Workspace:    WorkspaceName(workspace),
				Chat:         name,
				Tier:         tier,
			})
		}
		if g.rng.Float64() < 1/o.MeanTurns {
			return
		}
		at += responseMillis + thinkTime.Rand()
		length += output + g.randomTokens(o.LaterTurnTokens)
	}
}

// hashIDs returns the hash IDs of the full blocks. For a partial last block it adds a
// new ID, because the text of that block differs in the next turn.
func (g *generator) hashIDs(full []uint64, length int) []uint64 {
	ids := append(make([]uint64, 0, len(full)+1), full...)
	if len(ids) < BlockCount(length) {
		ids = append(ids, g.newHashID())
	}
	return ids
}

func (g *generator) addAtMostOnceCalls(shares []float64) {
	if g.opts.AtMostOnceRate <= 0 {
		return
	}
	interarrival := distuv.Exponential{Rate: g.opts.AtMostOnceRate / 1000, Src: g.src}
	index := distuv.NewCategorical(shares, g.src)
	for at := interarrival.Rand(); at < float64(g.opts.Duration); at += interarrival.Rand() {
		g.records = append(g.records, Record{
			Timestamp:  waxfleet.Millis(at),
			HashIDs:    []uint64{},
			Workspace:  WorkspaceName(int(index.Rand())),
			Tier:       g.randomTier(),
			AtMostOnce: true,
		})
	}
}

func (g *generator) newHashID() uint64 {
	g.lastHashID++
	return g.lastHashID
}

// randomTokens draws a length in tokens, at most maxPromptTokens.
func (g *generator) randomTokens(median float64) int {
	d := distuv.LogNormal{Mu: math.Log(median), Sigma: g.opts.LengthSigma, Src: g.src}
	return max(1, min(int(d.Rand()), maxPromptTokens))
}

func (g *generator) randomTier() string {
	sum := 0.0
	for _, t := range g.opts.Tiers {
		sum += t.Weight
	}
	x := g.rng.Float64() * sum
	for _, t := range g.opts.Tiers {
		if x -= t.Weight; x < 0 {
			return t.Tier
		}
	}
	return g.opts.Tiers[len(g.opts.Tiers)-1].Tier
}

// zipfShares returns the shares of n workspaces, largest first. Their sum is 1.
func zipfShares(n int, exponent float64) []float64 {
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}
