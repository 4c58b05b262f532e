package waxmember

import (
	"slices"

	"waxwingdrift.org/waxfleet"
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
	t.seq++
	t.sentAt[t.seq] = now
	delete(t.sentAt, t.seq-sentHistory)
	d := &waxwire.Digest{
		Instance: t.self.ID(), Incarnation: t.incarnation, FailureDomain: t.self.FailureDomain(),
		Sequence: t.seq, ConfigVersion: config, Epoch: epoch, Leaving: t.leaving, PlatformReachable: platform,
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
	for m := range t.departed {
		d.Departed = append(d.Departed, m)
	}
	slices.Sort(d.Departed)
	if known && p.epoch < epoch {
		d.Assignment, d.AssignmentVersion = value, version
	}
	return d
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
	if len(d.GetAssignment()) > 0 {
		t.local.TakeAssignment(d.GetAssignment(), d.GetAssignmentVersion())
	}
	t.local.TakeSuspects(d.GetSuspects())
	_, _, epoch := t.local.Assignment()

	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	p, ok := t.peers[d.GetInstance()]
	if !ok {
		return // not in the list yet: its address is unknown
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
	p.heard = now
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
	// A departure under a newer epoch says nothing about the older one that this
	// instance still acts under.
	if d.GetFailureDomain() == t.self.FailureDomain() && d.GetEpoch() <= epoch {
		for _, m := range d.GetDeparted() {
			t.departed[m] = true
		}
	}
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
