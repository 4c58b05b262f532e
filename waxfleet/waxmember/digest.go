package waxmember

import (
	"encoding/json"
	"maps"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxwire"
)

// BuildDigest returns a digest for one peer and records its send time. It contains the
// state that the peer has not yet acknowledged.
func (t *Table) BuildDigest(peerID string) *waxwire.Digest {
	value, version, epoch := t.local.Assignment()
	states := t.local.BackendStates()
	configVersion := t.local.ConfigVersion()
	platformReachable := t.local.PlatformReachable()

	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.updateOwnStates(states)
	t.setAssignment(&waxwire.AssignmentCopy{FailureDomain: t.self.FailureDomain(), Epoch: epoch, Value: value, Version: version})
	t.seq++
	t.sentAt[t.seq] = now
	delete(t.sentAt, t.seq-maxSentDigests)
	d := &waxwire.Digest{
		Instance: t.self.ID(), Incarnation: t.incarnation, FailureDomain: t.self.FailureDomain(),
		Sequence: t.seq, ConfigVersion: configVersion, Epoch: epoch, Leaving: t.leaving, PlatformReachable: platformReachable,
		PeerAddress: t.self.PeerAddress(),
	}
	p, known := t.peers[peerID]
	if known {
		d.Acknowledged = p.receivedSeq
		d.AcknowledgedIncarnation = p.incarnation
	}
	ackedSeq := uint64(0)
	if known {
		ackedSeq = p.ackedSeq
	}
	d.Suspects = t.local.Suspects(ackedSeq == 0)
	for _, a := range t.assignments {
		if a.seq > ackedSeq {
			d.Assignments = append(d.Assignments, a.copy)
		}
	}
	d.Departed = t.departedMembers()
	if known && p.instance.FailureDomain() != t.self.FailureDomain() {
		d.Totals = t.domainTotals(now, false)
		return d
	}
	d.Totals = t.domainTotals(now, true)
	for _, o := range t.ownStates {
		if o.seq > ackedSeq {
			d.BackendServers = append(d.BackendServers, o.state)
		}
	}
	return d
}

func (t *Table) departedMembers() []string {
	var members []string
	for m := range t.departedLocal {
		members = append(members, m)
	}
	for m := range t.departedRemote {
		members = append(members, m)
	}
	slices.Sort(members)
	return members
}

// setAssignment stores an assignment if its epoch is the highest known in its failure
// domain. The caller holds the lock.
func (t *Table) setAssignment(c *waxwire.AssignmentCopy) {
	if c.GetEpoch() <= t.assignments[c.GetFailureDomain()].copy.GetEpoch() {
		return
	}
	var parsed waxlease.Assignment
	if json.Unmarshal(c.GetValue(), &parsed) != nil {
		return
	}
	t.assignments[c.GetFailureDomain()] = assignmentState{copy: c, parsed: parsed, seq: t.seq + 1}
	t.pruneDeparted()
}

// pruneDeparted removes the departed members that no assignment names any more, so
// that digests stay small over the lifetime of the fleet.
func (t *Table) pruneDeparted() {
	named := map[string]bool{}
	for _, a := range t.assignments {
		for _, group := range append(a.parsed.History(), a.parsed.Members()) {
			for _, m := range group {
				named[m.String()] = true
			}
		}
	}
	self := t.selfMember()
	unnamed := func(m string, _ bool) bool { return !named[m] && m != self }
	before := len(t.departedLocal)
	maps.DeleteFunc(t.departedLocal, unnamed)
	if len(t.departedLocal) != before {
		t.departuresVersion++
	}
	maps.DeleteFunc(t.departedRemote, unnamed)
}

// domainTotals returns the totals to send. If others is set, these are the totals of
// other failure domains, for peers of this domain. Otherwise they are those of this
// domain, for peers of other domains.
func (t *Table) domainTotals(now waxfleet.Millis, others bool) []*waxwire.ServiceTotal {
	var out []*waxwire.ServiceTotal
	if others {
		for _, d := range t.totals {
			if now-d.measuredAt <= PeerTimeout {
				out = append(out, wireTotal(d.total, now-d.measuredAt))
			}
		}
		return out
	}
	for _, service := range t.ownServices() {
		out = append(out, wireTotal(t.ownTotal(service), 0))
	}
	return out
}

func wireTotal(s waxfleet.ServiceTotal, age waxfleet.Millis) *waxwire.ServiceTotal {
	return &waxwire.ServiceTotal{
		Service: s.Service(), FailureDomain: s.FailureDomain(), InFlight: int32(s.InFlight()),
		Engines: int32(s.Servers()), Free: int32(s.FreeSlots()), AgeMs: int64(age),
	}
}

func (t *Table) ownServices() []string {
	var services []string
	for _, b := range t.servers {
		if b.FailureDomain() == t.self.FailureDomain() && !slices.Contains(services, b.Service()) {
			services = append(services, b.Service())
		}
	}
	slices.Sort(services)
	return services
}

// MergeDigest applies a digest that a peer sent.
func (t *Table) MergeDigest(d *waxwire.Digest) {
	for _, c := range d.GetAssignments() {
		if c.GetFailureDomain() == t.self.FailureDomain() {
			t.local.AdoptAssignment(c.GetValue(), c.GetVersion())
		}
	}
	t.local.MergeSuspects(d.GetSuspects())
	value, version, epoch := t.local.Assignment()

	t.mu.Lock()
	defer t.mu.Unlock()
	t.setAssignment(&waxwire.AssignmentCopy{FailureDomain: t.self.FailureDomain(), Epoch: epoch, Value: value, Version: version})
	now := t.clock.Now()
	p, ok := t.peers[d.GetInstance()]
	if !ok {
		p = newPeerState(waxfleet.NewInstance(d.GetInstance(), d.GetFailureDomain(), d.GetPeerAddress(), waxfleet.StateLive))
		t.peers[d.GetInstance()] = p
	}
	if p.incarnation > d.GetIncarnation() {
		return // a late digest from an earlier incarnation
	}
	if p.incarnation != d.GetIncarnation() {
		replacement := newPeerState(p.instance)
		replacement.incarnation = d.GetIncarnation()
		t.peers[d.GetInstance()] = replacement
		p = replacement
	}
	t.recordAcknowledgement(p, d)
	if d.GetSequence() <= p.receivedSeq {
		return // a later digest arrived first, on another connection
	}
	p.receivedSeq = d.GetSequence()
	p.lastMessageAt, p.lastDigestAt = now, now
	p.epoch = max(p.epoch, d.GetEpoch())
	p.configVersion = d.GetConfigVersion()
	t.local.ConfigVersionSeen(p.configVersion)
	p.leaving = d.GetLeaving()
	p.platformReachable = d.GetPlatformReachable()
	for _, s := range d.GetBackendServers() {
		if s.GetGone() {
			delete(p.servers, s.GetId())
			continue
		}
		p.servers[s.GetId()] = s
	}
	t.recordTotals(d.GetTotals(), now)
	for _, c := range d.GetAssignments() {
		if c.GetFailureDomain() != t.self.FailureDomain() {
			t.setAssignment(c)
		}
	}
	t.recordDepartures(d, epoch)
}

// recordDepartures records the departed members that a digest announces. It ignores
// departures announced under a newer epoch than that of this instance, because they
// say nothing about the older epoch.
func (t *Table) recordDepartures(d *waxwire.Digest, epoch uint64) {
	own := d.GetFailureDomain() == t.self.FailureDomain()
	for _, m := range d.GetDeparted() {
		p, known := t.peers[waxlease.ParseMember(m).Instance()]
		switch {
		case known && p.instance.FailureDomain() != t.self.FailureDomain():
			t.departedRemote[m] = true
		case own && d.GetEpoch() <= epoch && !t.departedLocal[m]:
			t.departedLocal[m] = true
			t.lastDepartureAt = t.clock.Now()
			t.departuresVersion++
		}
	}
	t.pruneDeparted()
}

func (t *Table) recordAcknowledgement(p *peerState, d *waxwire.Digest) {
	if d.GetAcknowledgedIncarnation() != t.incarnation || d.GetAcknowledged() <= p.ackedSeq {
		return
	}
	p.ackedSeq = d.GetAcknowledged()
	if at, ok := t.sentAt[p.ackedSeq]; ok {
		p.ackedSentAt = max(p.ackedSentAt, at)
	}
}

func (t *Table) recordTotals(totals []*waxwire.ServiceTotal, now waxfleet.Millis) {
	for _, s := range totals {
		if s.GetFailureDomain() == t.self.FailureDomain() {
			continue
		}
		key := totalKey{service: s.GetService(), failureDomain: s.GetFailureDomain()}
		at := now - waxfleet.Millis(s.GetAgeMs())
		if old, ok := t.totals[key]; ok && old.measuredAt >= at {
			continue
		}
		total := waxfleet.NewServiceTotal(s.GetService(), s.GetFailureDomain(),
			int(s.GetInFlight()), int(s.GetEngines()), int(s.GetFree()))
		t.totals[key] = domainTotal{total: total, measuredAt: at}
	}
}

// peersBefore returns the IDs of the live peers that have not reported the configuration
// version or a later one.
func (t *Table) peersBefore(version uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var ids []string
	for id, p := range t.peers {
		if p.configVersion < version && now-p.lastMessageAt <= PeerTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// PeerWithNewerConfig returns a live peer whose configuration version is greater than
// version, if there is one.
func (t *Table) PeerWithNewerConfig(version uint64) (waxfleet.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, p := range t.peers {
		if p.configVersion > version && now-p.lastMessageAt <= PeerTimeout {
			return p.instance, true
		}
	}
	return waxfleet.Instance{}, false
}
