package waxtrace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"

	"waxwingdrift.org/waxfleet"
)

// Burst raises the request rate by a factor for a time. An empty workspace
// means all of them.
type Burst struct {
	Workspace string
	From      waxfleet.Millis
	Length    waxfleet.Millis
	Factor    float64
}

// TierWeight is the relative share of chats in a price tier.
type TierWeight struct {
	Tier   string
	Weight float64
}

// Options shapes a generated trace. Rates and times are those of the trace; only
// the pauses between the turns of a chat are divided by Compress.
type Options struct {
	Seed     uint64
	Duration waxfleet.Millis
	// Rate is the mean number of chat requests per second outside bursts.
	Rate       float64
	Workspaces int
	// Skew is the exponent of the Zipf law of workspace sizes.
	Skew float64
	// MeanTurns is the mean number of turns of a chat.
	MeanTurns float64
	// PauseMedian and PauseSigma shape the log-normal pause before a return.
	PauseMedian waxfleet.Millis
	PauseSigma  float64
	Compress    float64
	// FirstTokens, TurnTokens and OutputTokens are medians, in tokens.
	FirstTokens  float64
	TurnTokens   float64
	OutputTokens float64
	LengthSigma  float64
	// SystemBlocks is the length of the prompt start that the chats of a
	// workspace share, in blocks.
	SystemBlocks int
	Tiers        []TierWeight
	Bursts       []Burst
	// OnceRate is the mean number of once calls per second.
	OnceRate float64
}

// DefaultOptions returns a trace of 30 minutes with about 10 workspaces.
func DefaultOptions() Options {
	return Options{
		Seed:         1,
		Duration:     30 * minute,
		Rate:         30,
		Workspaces:   10,
		Skew:         1,
		MeanTurns:    6,
		PauseMedian:  3 * minute,
		PauseSigma:   1,
		Compress:     1,
		FirstTokens:  700,
		TurnTokens:   150,
		OutputTokens: 160,
		LengthSigma:  0.7,
		SystemBlocks: 1,
		Tiers:        []TierWeight{{"express", 0.2}, {"standard", 0.5}, {"patient", 0.25}, {"overnight", 0.05}},
	}
}

const (
	minute = 60 * 1000 * waxfleet.Millis(1)
	// turnMillis stands for the time of an answer between two turns.
	turnMillis = 5000.0
	// warmupChats is how long before its first request a stream starts, in mean
	// lengths of a chat.
	warmupChats = 3
	// burstHurry divides the pauses of chats of a burst, so that they return
	// within it.
	burstHurry = 10.0
	maxPrompt  = 100_000
	maxTurns   = 200
)

// WorkspaceName returns the name of the i-th largest workspace, from 0.
func WorkspaceName(i int) string { return fmt.Sprintf("ws-%02d", i+1) }

// PrizeDay returns bursts over all workspaces: every period, for length.
func PrizeDay(duration, period, length waxfleet.Millis, factor float64) []Burst {
	var bursts []Burst
	if period <= 0 {
		return nil
	}
	for from := period / 2; from < duration; from += period {
		bursts = append(bursts, Burst{From: from, Length: length, Factor: factor})
	}
	return bursts
}

// generator holds the state of one Generate call.
type generator struct {
	opts    Options
	rng     *rand.Rand
	src     *rand.PCG
	records []Record
	nextID  uint64
	chats   int
}

// Generate returns a trace. Equal options give equal records.
func Generate(opts Options) ([]Record, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	src := rand.NewPCG(opts.Seed, 0x7761786c6f6164)
	g := &generator{opts: opts, src: src, rng: rand.New(src)}
	g.nextID = uint64(opts.Workspaces*opts.SystemBlocks) + 1
	shares := zipf(opts.Workspaces, opts.Skew)
	for ws, share := range shares {
		g.stream(ws, share*opts.Rate, 0, opts.Duration, opts.Compress)
	}
	for _, b := range opts.Bursts {
		for ws, share := range shares {
			if b.Workspace == "" || b.Workspace == WorkspaceName(ws) {
				end := min(b.From+b.Length, opts.Duration)
				g.stream(ws, share*opts.Rate*(b.Factor-1), b.From, end, opts.Compress*burstHurry)
			}
		}
	}
	g.onceCalls(shares)
	sort.SliceStable(g.records, func(i, j int) bool { return g.records[i].Timestamp < g.records[j].Timestamp })
	return g.records, nil
}

func (o Options) check() error {
	switch {
	case o.Duration <= 0, o.Rate < 0, o.OnceRate < 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: duration must be positive and rates not negative")
	case o.Workspaces < 1, o.MeanTurns < 1, o.Compress <= 0, o.PauseMedian <= 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: workspaces, turns, compress and pause must be positive")
	case o.FirstTokens < 1, o.TurnTokens < 1, o.OutputTokens < 1, o.SystemBlocks < 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: token counts must be positive")
	case len(o.Tiers) == 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: the tier mix is empty")
	}
	for _, b := range o.Bursts {
		if b.Factor < 1 || b.Length <= 0 || b.From < 0 {
			return waxfleet.NewError(waxfleet.CodeSettingInvalid, "trace: a burst needs a factor of at least 1 and a length")
		}
	}
	return nil
}

func (g *generator) meanChatMillis(hurry float64) float64 {
	pause := float64(g.opts.PauseMedian) * math.Exp(g.opts.PauseSigma*g.opts.PauseSigma/2) / hurry
	return g.opts.MeanTurns * (pause + turnMillis)
}

// stream adds the requests in [from, to) of chats of a workspace that start as
// a Poisson process. Chats that start before from keep the rate of requests
// steady from there on.
func (g *generator) stream(ws int, rate float64, from, to waxfleet.Millis, hurry float64) {
	if rate <= 0 {
		return
	}
	gap := distuv.Exponential{Rate: rate / g.opts.MeanTurns / 1000, Src: g.src}
	warmup := warmupChats * g.meanChatMillis(hurry)
	for at := float64(from) - warmup + gap.Rand(); at < float64(to); at += gap.Rand() {
		g.chat(ws, at, hurry, float64(from), float64(to))
	}
}

func (g *generator) chat(ws int, at, hurry, from, to float64) {
	o := g.opts
	g.chats++
	name := fmt.Sprintf("chat-%06d", g.chats)
	tier := g.tier()
	pause := distuv.LogNormal{Mu: math.Log(float64(o.PauseMedian) / hurry), Sigma: o.PauseSigma, Src: g.src}
	prefix := make([]uint64, o.SystemBlocks)
	for i := range prefix {
		prefix[i] = uint64(ws*o.SystemBlocks + i + 1)
	}
	length := o.SystemBlocks*BlockTokens + g.tokens(o.FirstTokens)
	for turn := 0; turn < maxTurns && at < to && length <= maxPrompt; turn++ {
		for len(prefix) < length/BlockTokens {
			prefix = append(prefix, g.newID())
		}
		output := g.tokens(o.OutputTokens)
		if at >= from {
			g.records = append(g.records, Record{
				Timestamp: waxfleet.Millis(at), InputLength: length, OutputLength: output,
				HashIDs: g.hashIDs(prefix, length), Workspace: WorkspaceName(ws), Chat: name, Tier: tier,
			})
		}
		if g.rng.Float64() < 1/o.MeanTurns {
			return
		}
		at += turnMillis + pause.Rand()
		length += output + g.tokens(o.TurnTokens)
	}
}

// hashIDs copies the ids of the full blocks and adds a new id for a last block
// that is not full: its text differs in the next turn.
func (g *generator) hashIDs(full []uint64, length int) []uint64 {
	ids := append(make([]uint64, 0, len(full)+1), full...)
	if len(ids) < Blocks(length) {
		ids = append(ids, g.newID())
	}
	return ids
}

func (g *generator) onceCalls(shares []float64) {
	if g.opts.OnceRate <= 0 {
		return
	}
	gap := distuv.Exponential{Rate: g.opts.OnceRate / 1000, Src: g.src}
	pick := distuv.NewCategorical(shares, g.src)
	for at := gap.Rand(); at < float64(g.opts.Duration); at += gap.Rand() {
		g.records = append(g.records, Record{
			Timestamp: waxfleet.Millis(at), HashIDs: []uint64{}, Workspace: WorkspaceName(int(pick.Rand())),
			Tier: g.tier(), Once: true,
		})
	}
}

func (g *generator) newID() uint64 {
	g.nextID++
	return g.nextID
}

func (g *generator) tokens(median float64) int {
	d := distuv.LogNormal{Mu: math.Log(median), Sigma: g.opts.LengthSigma, Src: g.src}
	return max(1, min(int(d.Rand()), maxPrompt))
}

func (g *generator) tier() string {
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

// zipf returns shares of n workspaces, largest first, with sum 1.
func zipf(n int, exponent float64) []float64 {
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
