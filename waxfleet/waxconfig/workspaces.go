package waxconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"waxwingdrift.org/waxfleet"
)

// workspaceEntry is the JSON form of a workspace. key-digests are the lower-case hex
// SHA-256 of API keys; keys are API keys in plain text, for tests.
type workspaceEntry struct {
	KeyDigests  []string `json:"key-digests" validate:"max=16,dive,len=64,hexadecimal,lowercase"`
	Keys        []string `json:"keys" validate:"max=16,dive,min=1,max=200"`
	DefaultTier string   `json:"default-tier" validate:"name"`
	Tiers       []string `json:"tiers" validate:"max=64,unique"`
	Models      []string `json:"models" validate:"max=64,unique"`
	Share       float64  `json:"share" validate:"gte=0.001,lte=1000"`
}

var defaultWorkspace = workspaceEntry{DefaultTier: "standard", Share: 1}

type workspaceIndex struct {
	byName  map[string]waxfleet.Workspace
	byKey   map[string]string
	entries map[string]workspaceEntry
}

var workspacesSection = section{
	name:       SectionWorkspaces,
	defaults:   `{}`,
	decode:     decodeWorkspaces,
	reuse:      func(d, from *Document) { d.workspaces = from.workspaces },
	crossCheck: crossCheckWorkspaces,
}

func decodeWorkspaces(d *Document, r *report, raw []byte) {
	entries := decodeEntries(r, SectionWorkspaces, raw, defaultWorkspace)
	index := &workspaceIndex{byName: map[string]waxfleet.Workspace{}, byKey: map[string]string{}, entries: entries}
	for _, name := range sortedKeys(entries) {
		e := entries[name]
		for _, digest := range e.allDigests() {
			if other, ok := index.byKey[digest]; ok {
				r.add(SectionWorkspaces, name+".key-digests", digest, "a unique key; workspace %s has it too", other)
				continue
			}
			index.byKey[digest] = name
		}
		index.byName[name] = waxfleet.NewWorkspace(name, e.DefaultTier, e.Tiers, e.Models, e.Share)
	}
	d.workspaces = index
}

func (e workspaceEntry) allDigests() []string {
	digests := slices.Clone(e.KeyDigests)
	for _, key := range e.Keys {
		digests = append(digests, keyDigest(key))
	}
	return digests
}

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func crossCheckWorkspaces(d *Document, r *report) {
	for _, name := range sortedKeys(d.workspaces.entries) {
		e := d.workspaces.entries[name]
		checkDefined(r, SectionWorkspaces, name+".default-tier", []string{e.DefaultTier},
			SectionPriceTiers, d.tiers.byName)
		checkDefined(r, SectionWorkspaces, name+".tiers", e.Tiers, SectionPriceTiers, d.tiers.byName)
		checkDefined(r, SectionWorkspaces, name+".models", e.Models, SectionServices, d.services.byModel)
		if len(e.Tiers) > 0 && !slices.Contains(e.Tiers, e.DefaultTier) {
			r.add(SectionWorkspaces, name+".default-tier", e.DefaultTier, "one of the workspace's tiers %v", e.Tiers)
		}
	}
}

// maxListedNames limits the allowed names that an error message lists.
const maxListedNames = 16

// checkDefined reports the values that section definedIn does not define.
func checkDefined[V any](r *report, section, path string, values []string, definedIn string, known map[string]V) {
	for _, value := range values {
		if _, ok := known[value]; ok {
			continue
		}
		names := sortedKeys(known)
		more := ""
		if len(names) > maxListedNames {
			names, more = names[:maxListedNames], " and others"
		}
		r.add(section, path, value, "a name that section %s defines: %v%s", definedIn, names, more)
	}
}
