package waxmember

import (
	"encoding/json"
	"maps"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxwire"
)

// Build returns the digest for one peer and records when it was made.
func (t *Table) Build(peerID string) *waxwire.Digest {
	value, version, epoch := t.local.Assignment()
	states := t.local.BackendStates()
	config := t.local.ConfigVersion()
	platform := t.local.PlatformReachable()

	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.refresh(states)
	t.setAssignment(&waxwire.AssignmentCopy{FailureDomain: t.self.FailureDomain(), Epoch: epoch, Value: value, Version: version})
	t.seq++
	t.sentAt[t.seq] = now
	delete(t.sentAt, t.seq-sentHistory)
	d := &waxwire.Digest{
		Instance: t.self.ID(), Incarnation: t.incarnation, FailureDomain: t.self.FailureDomain(),
		Sequence: t.seq, ConfigVersion: config, Epoch: epoch, Leaving: t.leaving, PlatformReachable: platform,
		PeerAddress: t.self.PeerAddress(),
	}
	p, known := t.peers[peerID]
	if known {
		d.Acknowledged = p.receivedSeq
		d.AcknowledgedIncarnation = p.incarnation
	}
	acked := uint64(0)
	if known {
		acked = p.ackedSeq
	}
	d.Suspects = t.local.Suspects(acked == 0)
	for _, a := range t.assignments {
		if a.seq > acked {
			d.Assignments = append(d.Assignments, a.copy)
		}
	}
	d.Departed = t.allDeparted()
	if known && p.instance.FailureDomain() != t.self.FailureDomain() {
		d.Totals = t.domainTotals(now, false)
		return d
	}
	d.Totals = t.domainTotals(now, true)
	for _, o := range t.own {
		if o.seq > acked {
			d.BackendServers = append(d.BackendServers, o.state)
		}
	}
	return d
}

func (t *Table) allDeparted() []string {
	var members []string
	for m := range t.departed {
		members = append(members, m)
	}
	for m := range t.elsewhere {
		members = append(members, m)
	}
	slices.Sort(members)
	return members
}

// setAssignment keeps an assignment if its epoch is the highest of its domain.
func (t *Table) setAssignment(c *waxwire.AssignmentCopy) {
	if c.GetEpoch() <= t.assignments[c.GetFailureDomain()].copy.GetEpoch() {
		return
	}
	var parsed waxlease.Assignment
	if json.Unmarshal(c.GetValue(), &parsed) != nil {
		return
	}
	t.assignments[c.GetFailureDomain()] = assignmentState{copy: c, parsed: parsed, seq: t.seq + 1}
	t.prune()
}

// prune forgets the departed members that no assignment names any more, so that
// digests stay small over the life of the fleet.
func (t *Table) prune() {
	named := map[string]bool{}
	for _, a := range t.assignments {
		for _, group := range append(a.parsed.History(), a.parsed.Members()) {
			for _, m := range group {
				named[m.String()] = true
			}
		}
	}
	self := t.selfMember()
	gone := func(m string, _ bool) bool { return !named[m] && m != self }
	before := len(t.departed)
	maps.DeleteFunc(t.departed, gone)
	if len(t.departed) != before {
		t.departures++
	}
	maps.DeleteFunc(t.elsewhere, gone)
}

// domainTotals returns the totals of this failure domain, or those of the others
// for peers of this domain.
func (t *Table) domainTotals(now waxfleet.Millis, others bool) []*waxwire.ServiceTotal {
	var out []*waxwire.ServiceTotal
	if others {
		for _, d := range t.totals {
			if now-d.at <= FreshFor {
				out = append(out, wireTotal(d.total, now-d.at))
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
		Engines: int32(s.Servers()), Free: int32(s.Free()), AgeMs: int64(age),
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

// Merge takes a digest that a peer sent.
func (t *Table) Merge(d *waxwire.Digest) {
	for _, c := range d.GetAssignments() {
		if c.GetFailureDomain() == t.self.FailureDomain() {
			t.local.TakeAssignment(c.GetValue(), c.GetVersion())
		}
	}
	t.local.TakeSuspects(d.GetSuspects())
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
		return // a late digest of a process that has been replaced
	}
	if p.incarnation != d.GetIncarnation() {
		fresh := newPeerState(p.instance)
		fresh.incarnation = d.GetIncarnation()
		t.peers[d.GetInstance()] = fresh
		p = fresh
	}
	t.takeAcknowledgement(p, d)
	if d.GetSequence() <= p.receivedSeq {
		return // overtaken by a later digest on another connection
	}
	p.receivedSeq = d.GetSequence()
	p.heard, p.digestAt = now, now
	p.epoch = max(p.epoch, d.GetEpoch())
	p.config = d.GetConfigVersion()
	p.leaving = d.GetLeaving()
	p.platform = d.GetPlatformReachable()
	for _, s := range d.GetBackendServers() {
		if s.GetGone() {
			delete(p.servers, s.GetId())
			continue
		}
		p.servers[s.GetId()] = s
	}
	t.takeTotals(d.GetTotals(), now)
	for _, c := range d.GetAssignments() {
		if c.GetFailureDomain() != t.self.FailureDomain() {
			t.setAssignment(c)
		}
	}
	t.takeDeparted(d, epoch)
}

// takeDeparted takes announcements of departure. One that was made under a newer
// epoch says nothing about the older one that this instance still acts under.
func (t *Table) takeDeparted(d *waxwire.Digest, epoch uint64) {
	own := d.GetFailureDomain() == t.self.FailureDomain()
	for _, m := range d.GetDeparted() {
		p, known := t.peers[waxlease.ParseMember(m).Instance()]
		switch {
		case known && p.instance.FailureDomain() != t.self.FailureDomain():
			t.elsewhere[m] = true
		case own && d.GetEpoch() <= epoch && !t.departed[m]:
			t.departed[m] = true
			t.departedAt = t.clock.Now()
			t.departures++
		}
	}
	t.prune()
}

func (t *Table) takeAcknowledgement(p *peerState, d *waxwire.Digest) {
	if d.GetAcknowledgedIncarnation() != t.incarnation || d.GetAcknowledged() <= p.ackedSeq {
		return
	}
	p.ackedSeq = d.GetAcknowledged()
	if at, ok := t.sentAt[p.ackedSeq]; ok {
		p.acked = max(p.acked, at)
	}
}

func (t *Table) takeTotals(totals []*waxwire.ServiceTotal, now waxfleet.Millis) {
	for _, s := range totals {
		if s.GetFailureDomain() == t.self.FailureDomain() {
			continue
		}
		key := totalKey{service: s.GetService(), failureDomain: s.GetFailureDomain()}
		at := now - waxfleet.Millis(s.GetAgeMs())
		if old, ok := t.totals[key]; ok && old.at >= at {
			continue
		}
		total := waxfleet.NewServiceTotal(s.GetService(), s.GetFailureDomain(), int(s.GetInFlight()), int(s.GetEngines()), int(s.GetFree()))
		t.totals[key] = domainTotal{total: total, at: at}
	}
}

// Behind returns a live peer whose configuration is newer than version, if any.
func (t *Table) Behind(version uint64) (waxfleet.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, p := range t.peers {
		if p.config > version && now-p.heard <= FreshFor {
			return p.instance, true
		}
	}
	return waxfleet.Instance{}, false
}
