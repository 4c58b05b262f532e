package waxconfig

import "waxwingdrift.org/waxfleet"

// serviceEntry is the JSON form of a service. Fencing is unchecked by default, the
// safe assumption for an engine that is not known to check fencing tokens.
type serviceEntry struct {
	Kind      string   `json:"kind" validate:"required,oneof=model-engine plain-service"`
	Models    []string `json:"models" validate:"max=64,unique,dive,min=1,max=200,printascii"`
	OncePaths []string `json:"once-paths" validate:"max=64,unique,dive,max=200,startswith=/"`
	Fencing   string   `json:"fencing" validate:"oneof=checked unchecked"`
}

var defaultService = serviceEntry{Fencing: "unchecked"}

type serviceIndex struct {
	byName  map[string]waxfleet.Service
	byModel map[string]string
}

var servicesSection = section{
	name:       SectionServices,
	defaults:   `{}`,
	decode:     decodeServices,
	reuse:      func(d, from *Document) { d.services = from.services },
	crossCheck: func(*Document, *report) {},
}

func decodeServices(d *Document, r *report, raw []byte) {
	entries := decodeEntries(r, SectionServices, raw, defaultService)
	index := &serviceIndex{byName: map[string]waxfleet.Service{}, byModel: map[string]string{}}
	for _, name := range sortedKeys(entries) {
		e := entries[name]
		checkServiceKind(r, name, e)
		for _, model := range e.Models {
			if other, ok := index.byModel[model]; ok {
				r.add(SectionServices, name+".models", model,
					"a model that no other service serves; service %s serves it", other)
				continue
			}
			index.byModel[model] = name
		}
		index.byName[name] = waxfleet.NewService(name, waxfleet.ServiceKind(e.Kind), e.Models,
			e.OncePaths, e.Fencing == "checked")
	}
	d.services = index
}

func checkServiceKind(r *report, name string, e serviceEntry) {
	switch waxfleet.ServiceKind(e.Kind) {
	case waxfleet.KindModelEngine:
		if len(e.Models) == 0 {
			r.add(SectionServices, name+".models", e.Models, "at least 1 model for a model-engine service")
		}
		if len(e.OncePaths) > 0 {
			r.add(SectionServices, name+".once-paths", e.OncePaths, "none for a model-engine service")
		}
	case waxfleet.KindPlainService:
		if len(e.Models) > 0 {
			r.add(SectionServices, name+".models", e.Models, "none for a plain-service service")
		}
	}
}
