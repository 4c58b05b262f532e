package waxconfig

import (
	"cmp"
	"slices"

	"waxwingdrift.org/waxfleet"
)

type tierEntry struct {
	Price      float64 `json:"price" validate:"gt=0,lte=1000"`
	Priority   int     `json:"priority" validate:"gte=0,lte=100"`
	PatienceMs int64   `json:"patience-ms" validate:"gte=0,ltefield=DeadlineMs"`
	DeadlineMs int64   `json:"deadline-ms" validate:"gte=1,lte=3600000"`
}

var defaultTier = tierEntry{Price: 1, Priority: 1, PatienceMs: 500, DeadlineMs: 30_000}

type tierIndex struct {
	byName map[string]waxfleet.Tier
	list   []waxfleet.Tier
}

var priceTiersSection = section{
	name: SectionPriceTiers,
	defaults: `{
		"express":   {"price": 3.0, "priority": 0, "patience-ms": 0,     "deadline-ms": 10000},
		"standard":  {"price": 1.0, "priority": 1, "patience-ms": 500,   "deadline-ms": 30000},
		"patient":   {"price": 0.6, "priority": 2, "patience-ms": 2000,  "deadline-ms": 60000},
		"overnight": {"price": 0.3, "priority": 3, "patience-ms": 10000, "deadline-ms": 600000}
	}`,
	decode:     decodePriceTiers,
	reuse:      func(d, from *Document) { d.tiers = from.tiers },
	crossCheck: func(*Document, *report) {},
}

func decodePriceTiers(d *Document, r *report, raw []byte) {
	entries := decodeEntries(r, SectionPriceTiers, raw, defaultTier)
	index := &tierIndex{byName: map[string]waxfleet.Tier{}}
	for name, e := range entries {
		tier := waxfleet.NewTier(name, e.Price, e.Priority, waxfleet.Millis(e.PatienceMs),
			waxfleet.Millis(e.DeadlineMs))
		index.byName[name] = tier
		index.list = append(index.list, tier)
	}
	if len(entries) == 0 && len(r.problems) == 0 {
		r.add(SectionPriceTiers, "(top)", entries, "at least 1 tier")
	}
	slices.SortFunc(index.list, func(a, b waxfleet.Tier) int {
		return cmp.Or(cmp.Compare(a.Priority(), b.Priority()), cmp.Compare(a.Name(), b.Name()))
	})
	d.tiers = index
}
