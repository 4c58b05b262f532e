package main

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	waxadapter "waxwingdrift.org/platform"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

func init() { register(newInspect) }

// flagStore sets the address of the metadata store in which instances started with
// waxrouter route register.
const flagStore = "store"

// stateReply is the reply of a registered instance, or the error of the query.
type stateReply = routerReply[*waxwire.StateReply]

// stateRow is an instance. Answers is false if its query failed; the other fields of its
// reply are then empty. Source is the instance that it replicates from, or "store".
type stateRow struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	Answers       bool   `json:"answers"`
	Ready         bool   `json:"ready"`
	Reason        string `json:"reason"`
	ConfigVersion uint64 `json:"config-version"`
	// ProofAgeMs is the time in ms since the instance last confirmed that its API keys
	// are current, or -1 if it never did.
	ProofAgeMs int64 `json:"proof-age-ms"`
	// ServersAgeMs is the age in ms of the instance's list of backend servers against the
	// store, or -1 if it has none or does not tell.
	ServersAgeMs int64 `json:"servers-age-ms"`
	// Build is the version of the program, and Abilities what it does for other instances.
	// Both are empty for instances of versions that do not tell.
	Build     string   `json:"build"`
	Abilities []string `json:"abilities"`
	Source    string   `json:"source"`
	Evacuated []string `json:"evacuated"`
}

// serverViewRow combines the views that all instances have of one backend server.
type serverViewRow struct {
	ID            string   `json:"id"`
	Service       string   `json:"service"`
	FailureDomain string   `json:"failure-domain"`
	Address       string   `json:"address"`
	State         string   `json:"state"`
	InFlight      uint32   `json:"in-flight"`
	Slots         uint32   `json:"slots"`
	Flags         []string `json:"flags"`
	// Disagree holds the instances that report another state, address or flag.
	Disagree []string `json:"disagree"`
}

func newInspect(a *app) *cobra.Command {
	c := &cobra.Command{
		Use:   "inspect",
		Short: "Show the state that instances started with waxrouter route report",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.PersistentFlags().String(flagStore, "", "address of the platform's metadata store, ip:port (WAX_STORE)")
	if err := a.settings.BindPFlag(flagStore, c.PersistentFlags().Lookup(flagStore)); err != nil {
		panic(err) // fails only if the flag is missing
	}
	c.AddCommand(&cobra.Command{
		Use: "instances", Short: "List the instances with their configuration version and evacuated failure domains",
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			replies, err := a.fetchStates(cmd.Context())
			if err != nil {
				return err
			}
			rows := newStateRows(replies)
			return a.emit(rows, func(w io.Writer) { writeStates(w, rows) })
		},
	}, &cobra.Command{
		Use: "servers", Short: "List the backend servers with their total load across all instances",
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			replies, err := a.fetchStates(cmd.Context())
			if err != nil {
				return err
			}
			rows := newServerViewRows(replies)
			return a.emit(rows, func(w io.Writer) { writeServerViews(w, rows) })
		},
	}, newInspectRollouts(a))
	return c
}

// metadataStore returns a client of the platform's metadata store.
//
// Errors: CodeSettingInvalid if store is empty.
func metadataStore(store string) (*waxadapter.Store, error) {
	if store == "" {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s: no value; allowed: the ip:port of the platform's metadata store", flagStore)
	}
	return waxadapter.NewStore(store), nil
}

// fetchStates returns the state of each instance that is registered in the store.
//
// Errors: CodeSettingInvalid if no store is set; CodePeerUnreachable if no instance
// is registered or none responds; those of the store.
func (a *app) fetchStates(ctx context.Context) ([]stateReply, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	instances, err := a.listRegistered(ctx, a.settings.GetString(flagStore))
	if err != nil {
		return nil, err
	}
	client := newInspectionHTTPClient()
	return queryAll(ctx, a, "instance", instances, func(ctx context.Context, url string) (*waxwire.StateReply, error) {
		resp, err := waxwireconnect.NewInspectionClient(client, url).State(ctx, connect.NewRequest(&waxwire.StateRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
}

// keyHeader returns the header field in which a caller sends its API key.
func keyHeader(key string) (name, value string) { return waxadapter.KeyHeader(key) }

// listRegistered returns the instances that are registered in the store.
//
// Errors: CodeSettingInvalid if store is empty; CodePeerUnreachable if no instance is
// registered; those of the store.
func (a *app) listRegistered(ctx context.Context, store string) ([]waxfleet.Instance, error) {
	client, err := metadataStore(store)
	if err != nil {
		return nil, err
	}
	listed, err := client.Peers().List(ctx)
	if err != nil {
		return nil, err
	}
	var instances []waxfleet.Instance
	for _, r := range listed.Records {
		if !r.Decoded {
			a.logf("cannot read the entry of instance %s: %s", r.Name, r.DecodeError)
			continue
		}
		state := waxfleet.StateLive
		if r.Value.Stopping {
			state = waxfleet.StateLeaving
		}
		instances = append(instances, waxfleet.NewInstance(r.Name, r.Value.FailureDomain, r.Value.Address, state))
	}
	if len(instances) == 0 {
		return nil, waxfleet.NewError(waxfleet.CodePeerUnreachable, "no instances are registered")
	}
	return instances, nil
}

func newStateRows(replies []stateReply) []stateRow {
	rows := make([]stateRow, 0, len(replies))
	for _, reply := range replies {
		s := reply.value
		r := stateRow{
			Instance:      reply.router.ID(),
			FailureDomain: s.GetFailureDomain(),
			Address:       reply.router.PeerAddress(),
			Answers:       reply.err == nil,
			Ready:         s.GetReady(),
			Reason:        s.GetReason(),
			ConfigVersion: s.GetConfigVersion(),
			ProofAgeMs:    s.GetProofAgeMs(),
			ServersAgeMs:  -1,
			Evacuated:     s.GetEvacuated(),
		}
		if !r.Answers && reply.router.State() == waxfleet.StateLeaving {
			r.Reason = "stopping"
		}
		if r.Answers {
			r.Source = cmp.Or(s.GetFollowed(), "store")
		}
		if s != nil && s.ServersAgeMs != nil {
			r.ServersAgeMs = s.GetServersAgeMs()
		}
		r.Build, r.Abilities = s.GetBuild(), abilityNames(s.GetAbilities())
		rows = append(rows, r)
	}
	return rows
}

// abilityNames returns abilities in kebab case.
func abilityNames(abilities []waxwire.Ability) []string {
	names := make([]string, 0, len(abilities))
	for _, a := range abilities {
		names = append(names, strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(a.String(), "ABILITY_")), "_", "-"))
	}
	return names
}

func writeStates(w io.Writer, rows []stateRow) {
	writeRow(w, "INSTANCE", "DOMAIN", "ADDRESS", "ANSWERS", "READY", "REASON", "CONFIG", "PROOF AGE MS", "SERVERS AGE MS", "SOURCE", "EVACUATED", "BUILD", "ABILITIES")
	for _, r := range rows {
		writeRow(w, r.Instance, orDash(r.FailureDomain), r.Address, r.Answers, r.Ready, orDash(r.Reason), r.ConfigVersion, r.ProofAgeMs, r.ServersAgeMs,
			orDash(r.Source), orDash(strings.Join(r.Evacuated, ",")), orDash(r.Build), orDash(strings.Join(r.Abilities, ",")))
	}
}

// newServerViewRows merges the views of all instances. State, address and flags of a
// server are those of the first instance, by ID, that reports it. InFlight is the sum
// of the requests in flight through each instance.
func newServerViewRows(replies []stateReply) []serverViewRow {
	byID := map[string]*serverViewRow{}
	for _, reply := range replies {
		for _, v := range reply.value.GetServers() {
			flags := serverViewFlags(v)
			r := byID[v.GetId()]
			if r == nil {
				r = &serverViewRow{
					ID:            v.GetId(),
					Service:       v.GetService(),
					FailureDomain: v.GetFailureDomain(),
					Address:       v.GetAddress(),
					State:         v.GetState(),
					Slots:         v.GetSlots(),
					Flags:         flags,
					Disagree:      []string{},
				}
				byID[v.GetId()] = r
			}
			r.InFlight += v.GetInFlight()
			if r.State != v.GetState() || r.Address != v.GetAddress() || !slices.Equal(r.Flags, flags) {
				r.Disagree = append(r.Disagree, reply.router.ID())
			}
		}
	}
	rows := make([]serverViewRow, 0, len(byID))
	for _, r := range byID {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(x, y serverViewRow) int { return cmp.Compare(x.ID, y.ID) })
	return rows
}

func serverViewFlags(v *waxwire.ServerView) []string {
	flags := []string{}
	for _, f := range []struct {
		name string
		set  bool
	}{{"cold", v.GetCold()}, {"missing", v.GetMissing()}, {"down", v.GetDown()}} {
		if f.set {
			flags = append(flags, f.name)
		}
	}
	return flags
}

func writeServerViews(w io.Writer, rows []serverViewRow) {
	writeRow(w, "SERVER", "SERVICE", "DOMAIN", "ADDRESS", "STATE", "IN FLIGHT", "SLOTS", "FLAGS", "DISAGREE")
	for _, r := range rows {
		writeRow(w, r.ID, r.Service, r.FailureDomain, r.Address, r.State, r.InFlight, r.Slots, orDash(strings.Join(r.Flags, ",")),
			orDash(strings.Join(r.Disagree, ",")))
	}
}
