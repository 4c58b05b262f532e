// Package waxlease renews the lease of this instance and decides how much of each
// backend server's load limit it may use. docs/ownership.md describes the cases.
package waxlease

import (
	"encoding/json"
	"slices"
	"strings"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// Member is one incarnation of an instance. A restart makes a new member.
type Member struct {
	instance    string
	incarnation string
}

const memberSeparator = "@"

// NewMember returns the member for one incarnation of an instance.
func NewMember(instance, incarnation string) Member {
	return Member{instance: instance, incarnation: incarnation}
}

// ParseMember parses the form that String returns.
func ParseMember(s string) Member {
	instance, incarnation, _ := strings.Cut(s, memberSeparator)
	return Member{instance: instance, incarnation: incarnation}
}

// Instance returns the instance ID.
func (m Member) Instance() string { return m.instance }

// Incarnation returns the identifier that is new at each start of the process.
// Later incarnations of an instance compare greater.
func (m Member) Incarnation() string { return m.incarnation }

// String returns "instance@incarnation".
func (m Member) String() string { return m.instance + memberSeparator + m.incarnation }

// Assignment lists the members of a failure domain that own its backend servers
// during one epoch.
type Assignment struct {
	epoch   uint64
	members []Member
	history [][]Member
	writer  string
}

// NewAssignment returns an assignment. history holds the member sets of earlier
// epochs, newest first, of which some members may still act under their epoch;
// writer is the member that wrote the assignment.
func NewAssignment(epoch uint64, members []Member, history [][]Member, writer string) Assignment {
	return Assignment{epoch: epoch, members: members, history: history, writer: writer}
}

// Epoch returns the epoch number, or 0 if there is no assignment.
func (a Assignment) Epoch() uint64 { return a.epoch }

// Members returns the members of this epoch.
func (a Assignment) Members() []Member { return slices.Clone(a.members) }

// History returns the member sets of earlier epochs that may still be active,
// newest first.
func (a Assignment) History() [][]Member { return slices.Clone(a.history) }

// Writer returns the member that wrote the assignment.
func (a Assignment) Writer() string { return a.writer }

// Has reports whether m is a member in this epoch.
func (a Assignment) Has(m Member) bool { return slices.Contains(a.members, m) }

type assignmentJSON struct {
	Epoch   uint64     `json:"epoch"`
	Members []string   `json:"members"`
	History [][]string `json:"history,omitempty"`
	Writer  string     `json:"writer"`
}

// MarshalJSON encodes the assignment as it is stored.
func (a Assignment) MarshalJSON() ([]byte, error) {
	j := assignmentJSON{Epoch: a.epoch, Members: memberStrings(a.members), Writer: a.writer}
	for _, group := range a.history {
		j.History = append(j.History, memberStrings(group))
	}
	return json.Marshal(j)
}

// UnmarshalJSON decodes a stored assignment.
func (a *Assignment) UnmarshalJSON(data []byte) error {
	var j assignmentJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*a = Assignment{epoch: j.Epoch, members: parseMembers(j.Members), writer: j.Writer}
	for _, group := range j.History {
		a.history = append(a.history, parseMembers(group))
	}
	return nil
}

func memberStrings(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.String()
	}
	return out
}

func parseMembers(values []string) []Member {
	out := make([]Member, len(values))
	for i, v := range values {
		out[i] = ParseMember(v)
	}
	return out
}

// rankMembers returns the members in rendezvous order for the backend server,
// without those that departed. The first is the owner, the second its standby.
func rankMembers(server string, members []Member, departed func(Member) bool) []Member {
	byInstance := make(map[string]Member, len(members))
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if departed(m) {
			continue
		}
		byInstance[m.instance] = m
		ids = append(ids, m.instance)
	}
	ranked := waxplace.Rank(server, ids)
	out := make([]Member, len(ranked))
	for i, id := range ranked {
		out[i] = byInstance[id]
	}
	return out
}

// Lease is the stored form of an instance's lease.
type Lease struct {
	Incarnation   string         `json:"incarnation"`
	FailureDomain string         `json:"failure-domain"`
	PeerAddress   string         `json:"peer-address"`
	EpochSeen     uint64         `json:"epoch-seen"`
	State         waxfleet.State `json:"state"`
	ConfigVersion uint64         `json:"config-version"`
}
