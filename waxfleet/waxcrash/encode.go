package waxcrash

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxEncodedBans and maxEncodedCrashes bound the text of EncodeBans to about 2 KB.
	maxEncodedBans    = 8
	maxEncodedCrashes = 6
	// wallTolerance is how much younger a crash may be than its stored Unix time says: the wall
	// clock of the writer may have been 7 s behind, and that of the reader may be 7 s ahead.
	wallTolerance waxfleet.Millis = 15_000
)

// EncodeBans returns the crashes that count against the banned traits for which keep
// returns true, as text that outlasts the process. The text changes only with them.
func (l *Ledger) EncodeBans(keep func(trait uint64) bool) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*record
	for hash := range l.bans {
		if r := l.records[hash]; r != nil && keep(hash) {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b *record) int {
		return cmp.Or(-cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.trait.hash, b.trait.hash))
	})
	var out []string
	for _, r := range kept[:min(len(kept), maxEncodedBans)] {
		text := fmt.Sprintf("%x/%d", r.trait.hash, r.trait.specificity)
		for _, c := range r.crashes[max(0, len(r.crashes)-maxEncodedCrashes):] {
			if r.counts(c) {
				text += fmt.Sprintf("/%x@%d+%d", c.server, c.sentAt+r.wallOffset, c.at-c.sentAt)
			}
		}
		out = append(out, text)
	}
	return strings.Join(out, " ")
}

// DecodeBans returns the reports of a text of EncodeBans, without those that have expired.
// now is the time of the wall clock. If it is behind that of the writer, all crashes are taken
// as older by what the latest one is in the future, so that the times between them stay. It
// skips what it can't read.
func DecodeBans(text string, now waxfleet.Millis) []Report {
	type stored struct {
		trait            Trait
		server           uint64
		sentAt, duration waxfleet.Millis
	}
	var crashes []stored
	latest := now
	for _, ban := range strings.Fields(text) {
		fields := strings.Split(ban, "/")
		if len(fields) < 2 {
			continue
		}
		var trait Trait
		if _, err := fmt.Sscanf(fields[0]+" "+fields[1], "%x %d", &trait.hash, &trait.specificity); err != nil {
			continue
		}
		for _, field := range fields[2:] {
			c := stored{trait: trait}
			if _, err := fmt.Sscanf(field, "%x@%d+%d", &c.server, &c.sentAt, &c.duration); err != nil || c.server == 0 || c.sentAt-now > recordTTL {
				continue
			}
			crashes = append(crashes, c)
			latest = max(latest, c.sentAt+c.duration)
		}
	}
	var reports []Report
	for _, c := range crashes {
		if sentAgo := latest - c.sentAt; sentAgo < recordTTL {
			r := NewReport(c.trait, c.server, sentAgo, sentAgo-c.duration)
			r.wallSentAt = c.sentAt
			reports = append(reports, r)
		}
	}
	return reports
}
