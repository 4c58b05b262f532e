package waxcrash

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

// scriptEnv holds the ledgers of a script, by instance, on one clock.
type scriptEnv struct {
	t       *testing.T
	clock   *waxfleet.Clock
	ledgers map[string]*Ledger
	// traits maps the hash of a trait to its name in the script.
	traits map[uint64]string
}

// TestLedger runs the scripts in testdata. Each names the load pattern that it replays.
//
// Traits are written as name:position for a part of a prompt, and as =name for a whole
// request. Times are in ms.
func TestLedger(t *testing.T) { runScripts(t, nil) }

// TestLedgerWallSteps runs the same scripts while the wall clock jumps before each command. It
// guards against bans and trials of a running process that depend on the time of day.
func TestLedgerWallSteps(t *testing.T) {
	runScripts(t, []waxfleet.Millis{7_000, -7_000, -7_000, 7_000})
}

// runScripts runs the scripts in testdata. Before each command, the wall clock jumps by the next
// one of steps; the script in which it jumps anyway runs without that.
func runScripts(t *testing.T, steps []waxfleet.Millis) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			s := &scriptEnv{t: t, clock: waxfleet.NewManualClock(1_000_000), ledgers: map[string]*Ledger{}, traits: map[uint64]string{}}
			commands := 0
			datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
				if len(steps) > 0 && filepath.Base(file) != "wall-steps.txt" {
					s.clock.StepWall(steps[commands%len(steps)])
					commands++
				}
				return s.run(t, d)
			})
		})
	}
}

func (s *scriptEnv) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	switch d.Cmd {
	case "wait":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		s.clock.Advance(waxfleet.Millis(ms))
		return ""
	case "step-wall":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		s.clock.StepWall(waxfleet.Millis(ms))
		return ""
	case "crash":
		// The request was sent "sent" ms ago; its server has just crashed.
		var server string
		sent := 100
		d.ScanArgs(t, "server", &server)
		d.MaybeScanArgs(t, "sent", &sent)
		now := s.clock.Now()
		return s.formatChanges(s.ledger(d).RecordCrash(xxhash.Sum64String(server), s.parseTraits(d), now-waxfleet.Millis(sent), now))
	case "answer":
		_, changes := s.ledger(d).RecordAnswer(s.parseTraits(d))
		return s.formatChanges(changes)
	case "check":
		v := s.ledger(d).Check(s.parseTraits(d))
		if !v.Banned() {
			return "send\n"
		}
		return fmt.Sprintf("refuse: %s after %d crashes, retry after %d ms\n", s.traits[v.Trait().Hash()], v.Crashes(), v.RetryAfter())
	case "exchange":
		return s.exchange()
	case "restart":
		return s.restart(d)
	case "snapshot":
		var from, to string
		d.ScanArgs(t, "from", &from)
		d.ScanArgs(t, "to", &to)
		s.ledgers[to] = New(s.clock, func(uint64) int { return 0 })
		_, changes := s.ledgers[to].Merge(s.ledgers[from].All(), waxgossip.ScopeRemote)
		return s.formatChanges(changes)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// restart starts the instance "to", which reads what the instance "from" has written to its
// registry entry.
func (s *scriptEnv) restart(d *datadriven.TestData) string {
	var from, to string
	d.ScanArgs(s.t, "from", &from)
	d.ScanArgs(s.t, "to", &to)
	text := s.ledgers[from].EncodeBans(all)
	s.ledgers[to] = New(s.clock, func(uint64) int { return 0 })
	_, changes := s.ledgers[to].Merge(DecodeBans(text, s.clock.Wall()), waxgossip.ScopeRemote)
	return s.formatChanges(changes)
}

// exchange delivers the queued reports of all instances until none is left.
func (s *scriptEnv) exchange() string {
	out := ""
	for round := 0; ; round++ {
		if round > 10 {
			return out + "the reports do not end\n"
		}
		idle := true
		for _, from := range s.names() {
			reports := s.ledgers[from].NextReports(waxgossip.ScopeGroup, 1_000)
			trials := s.ledgers[from].NextTrials(waxgossip.ScopeGroup, 1_000)
			idle = idle && len(reports)+len(trials) == 0
			s.clock.Advance(5) // time in transit, which the ages do not include
			for _, to := range s.names() {
				if to == from {
					continue
				}
				s.ledgers[to].MergeTrials(trials, waxgossip.ScopeRemote)
				if len(reports) == 0 {
					continue
				}
				if _, changes := s.ledgers[to].Merge(reports, waxgossip.ScopeRemote); len(changes) > 0 {
					out += to + ": " + s.formatChanges(changes)
				}
			}
		}
		if idle {
			return out
		}
	}
}

func (s *scriptEnv) names() []string {
	var names []string
	for i := range s.ledgers {
		names = append(names, i)
	}
	return slices.Sorted(slices.Values(names))
}

// ledger returns the ledger of the instance that the argument "at" names. An instance's
// rank for trials is the number of instances that the script named before.
func (s *scriptEnv) ledger(d *datadriven.TestData) *Ledger {
	at := "r1"
	d.MaybeScanArgs(s.t, "at", &at)
	if s.ledgers[at] == nil {
		rank := len(s.ledgers)
		s.ledgers[at] = New(s.clock, func(uint64) int { return rank })
	}
	return s.ledgers[at]
}

func (s *scriptEnv) parseTraits(d *datadriven.TestData) []Trait {
	var traits []Trait
	for _, field := range strings.Fields(d.Input) {
		var trait Trait
		if name, ok := strings.CutPrefix(field, "="); ok {
			trait = RequestTrait(name)
		} else {
			name, position := "", 0
			if _, err := fmt.Sscanf(strings.Replace(field, ":", " ", 1), "%s %d", &name, &position); err != nil {
				s.t.Fatalf("trait %q: %v", field, err)
			}
			trait = PartTrait(name, position)
		}
		s.traits[trait.Hash()] = field
		traits = append(traits, trait)
	}
	return traits
}

func (s *scriptEnv) formatChanges(changes []Change) string {
	var lines []string
	for _, c := range changes {
		if c.Banned() {
			lines = append(lines, fmt.Sprintf("banned %s after %d crashes", s.traits[c.Trait().Hash()], c.Crashes()))
			continue
		}
		lines = append(lines, "released "+s.traits[c.Trait().Hash()])
	}
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(slices.Sorted(slices.Values(lines)), "\n") + "\n"
}

// TestLedgerIsBounded guards against evidence that grows without bound, and against
// evicting traits with several crashes before others.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(1_000)
	l := New(clock, func(uint64) int { return 0 })
	bad := PartTrait("bad", 1)
	for server := range uint64(2) {
		l.RecordCrash(server+1, []Trait{bad}, clock.Now(), clock.Now()+50)
		clock.Advance(100)
	}
	for i := range maxRecords + 50 {
		clock.Advance(1)
		l.RecordCrash(uint64(i+10), []Trait{RequestTrait(fmt.Sprint(i))}, clock.Now(), clock.Now())
	}
	is.True(len(l.records) <= maxRecords)
	is.Equal(l.Crashes(bad), 2)
	clock.Advance(recordTTL)
	l.RecordCrash(5, []Trait{RequestTrait("late")}, clock.Now(), clock.Now())
	is.Equal(len(l.records), 1)
	is.True(!l.Check([]Trait{bad}).Banned())
}
