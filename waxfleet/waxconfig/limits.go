package waxconfig

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

type limitsValue struct {
	LoadFactor   float64 `json:"load-factor" validate:"gte=1,lte=10"`
	LoadFloor    int     `json:"load-floor" validate:"gte=1,lte=10000"`
	QueueLength  int     `json:"queue-length" validate:"gte=0,lte=100000"`
	ColdWindow   int     `json:"cold-window" validate:"gte=1,lte=10000"`
	MaxBodyBytes int64   `json:"max-body-bytes" validate:"gte=1024,lte=67108864"`
}

var defaultLimits = limitsValue{LoadFactor: 1.25, LoadFloor: 8, QueueLength: 64, ColdWindow: 8, MaxBodyBytes: 4 << 20}

var limitsSection = section{
	name:       SectionLimits,
	defaults:   `{"load-factor": 1.25, "load-floor": 8, "queue-length": 64, "cold-window": 8, "max-body-bytes": 4194304}`,
	decode:     decodeLimits,
	reuse:      func(d, from *Document) { d.limits = from.limits },
	crossCheck: func(*Document, *report) {},
}

func decodeLimits(d *Document, r *report, raw []byte) {
	value := defaultLimits
	if decodeValue(r, SectionLimits, "", raw, &value) {
		if !waxplace.FloorAllowsGrowth(value.LoadFactor, value.LoadFloor) {
			r.add(SectionLimits, "load-floor", value.LoadFloor,
				"at least 1 / (load-factor - %g), or the load limit can't rise above the floor",
				1+waxplace.AdmissionMargin)
		}
		d.limits = waxfleet.NewLimits(value.LoadFactor, value.LoadFloor, value.QueueLength,
			value.ColdWindow, value.MaxBodyBytes)
	}
}
