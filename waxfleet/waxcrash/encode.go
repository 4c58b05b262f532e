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
				text += fmt.Sprintf("/%x@%d+%d", c.server, c.wallSentAt, c.at-c.sentAt)
			}
		}
		out = append(out, text)
	}
	return strings.Join(out, " ")
}

// DecodeBans returns the reports of a text of EncodeBans, without those that have expired.
// now is the time of the wall clock. It skips what it can't read.
func DecodeBans(text string, now waxfleet.Millis) []Report {
	var reports []Report
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
			var server uint64
			var sentAt, duration int64
			if _, err := fmt.Sscanf(field, "%x@%d+%d", &server, &sentAt, &duration); err != nil || server == 0 {
				continue
			}
			sentAgo := max(now-waxfleet.Millis(sentAt), 0)
			if sentAgo < recordTTL {
				reports = append(reports, NewReport(trait, server, sentAgo, sentAgo-waxfleet.Millis(duration)))
			}
		}
	}
	return reports
}
