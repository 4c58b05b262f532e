package main

import (
	"cmp"
	"context"
	"io"
	"net/http"
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

// flagStore names the store that instances on the users' platform register in.
const flagStore = "store"

// inspected is an instance of the registry with its answer.
type inspected = routerAnswer[*waxwire.StateReply]

type inspectedRow struct {
	Instance      string   `json:"instance"`
	FailureDomain string   `json:"failure-domain"`
	Address       string   `json:"address"`
	Answers       bool     `json:"answers"`
	Ready         bool     `json:"ready"`
	Reason        string   `json:"reason"`
	ConfigVersion uint64   `json:"config-version"`
	ProofAgeMs    int64    `json:"proof-age-ms"`
	Source        string   `json:"source"`
	Evacuated     []string `json:"evacuated"`
}

// engineRow is one backend server over all instances.
type engineRow struct {
	ID            string   `json:"id"`
	Service       string   `json:"service"`
	FailureDomain string   `json:"failure-domain"`
	Address       string   `json:"address"`
	State         string   `json:"state"`
	InFlight      uint32   `json:"in-flight"`
	Slots         uint32   `json:"slots"`
	Flags         []string `json:"flags"`
	// Disagree holds the instances that see the state or a flag differently.
	Disagree []string `json:"disagree"`
}

func newInspect(a *app) *cobra.Command {
	c := &cobra.Command{
		Use:   "inspect",
		Short: "Show what the instances on the users' platform believe",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.PersistentFlags().String(flagStore, "", "address of the platform's metadata store, ip:port (WAX_STORE)")
	if err := a.settings.BindPFlag(flagStore, c.PersistentFlags().Lookup(flagStore)); err != nil {
		panic(err) // only a missing flag fails here
	}
	c.AddCommand(&cobra.Command{
		Use: "instances", Short: "List the instances with the configuration in force and the failure domains taken out",
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			found, err := a.inspect(cmd.Context())
			if err != nil {
				return err
			}
			rows := inspectedRows(found)
			return a.emit(rows, func(w io.Writer) { drawInspected(w, rows) })
		},
	}, &cobra.Command{
		Use: "servers", Short: "List the backend servers with their load over all instances",
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			found, err := a.inspect(cmd.Context())
			if err != nil {
				return err
			}
			rows := engineRows(found)
			return a.emit(rows, func(w io.Writer) { drawEngines(w, rows) })
		},
	})
	return c
}

// inspect reads the registry of instances and asks each for its state.
//
// Errors: CodeSettingInvalid without a store; CodePeerUnreachable when no instance
// is known or none answers; those of the store.
func (a *app) inspect(ctx context.Context) ([]inspected, error) {
	store := a.settings.GetString(flagStore)
	if store == "" {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s: no value; allowed: the ip:port of the platform's metadata store", flagStore)
	}
	ctx, cancel := a.limit(ctx)
	defer cancel()
	listed, err := waxadapter.NewStore(store).Peers().List(ctx)
	if err != nil {
		return nil, err
	}
	var instances []waxfleet.Instance
	for _, r := range listed.Records {
		if !r.Decoded {
			a.note("the entry of instance %s can't be read: %s", r.Name, r.DecodeError)
			continue
		}
		instances = append(instances, waxfleet.NewInstance(r.Name, r.Value.FailureDomain, r.Value.Address, waxfleet.StateLive))
	}
	if len(instances) == 0 {
		return nil, waxfleet.NewError(waxfleet.CodePeerUnreachable, "none of 0 instances answers")
	}
	return askAll(ctx, a, "instance", instances, func(ctx context.Context, url string) (*waxwire.StateReply, error) {
		resp, err := waxwireconnect.NewInspectionClient(http.DefaultClient, url).State(ctx, connect.NewRequest(&waxwire.StateRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
}

func inspectedRows(found []inspected) []inspectedRow {
	rows := make([]inspectedRow, 0, len(found))
	for _, n := range found {
		s := n.value
		r := inspectedRow{
			Instance: n.router.ID(), FailureDomain: s.GetFailureDomain(), Address: n.router.PeerAddress(), Answers: n.err == nil, Ready: s.GetReady(),
			Reason: s.GetReason(), ConfigVersion: s.GetConfigVersion(), ProofAgeMs: s.GetProofAgeMs(), Evacuated: s.GetEvacuated(),
		}
		if r.Answers {
			r.Source = cmp.Or(s.GetFollowed(), "store")
		}
		rows = append(rows, r)
	}
	return rows
}

func drawInspected(w io.Writer, rows []inspectedRow) {
	row(w, "INSTANCE", "DOMAIN", "ADDRESS", "ANSWERS", "READY", "REASON", "CONFIG", "PROOF AGE MS", "SOURCE", "EVACUATED")
	for _, r := range rows {
		row(w, r.Instance, dash(r.FailureDomain), r.Address, r.Answers, r.Ready, dash(r.Reason), r.ConfigVersion, r.ProofAgeMs,
			dash(r.Source), dash(strings.Join(r.Evacuated, ",")))
	}
}

// engineRows joins the views of all instances. The first one that answers gives the
// state, the sum of the own counts the load.
func engineRows(found []inspected) []engineRow {
	byID := map[string]*engineRow{}
	for _, n := range found {
		for _, v := range n.value.GetServers() {
			flags := engineFlags(v)
			r := byID[v.GetId()]
			if r == nil {
				r = &engineRow{
					ID: v.GetId(), Service: v.GetService(), FailureDomain: v.GetFailureDomain(), Address: v.GetAddress(),
					State: v.GetState(), Slots: v.GetSlots(), Flags: flags, Disagree: []string{},
				}
				byID[v.GetId()] = r
			}
			r.InFlight += v.GetInFlight()
			if r.State != v.GetState() || r.Address != v.GetAddress() || !slices.Equal(r.Flags, flags) {
				r.Disagree = append(r.Disagree, n.router.ID())
			}
		}
	}
	rows := make([]engineRow, 0, len(byID))
	for _, r := range byID {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(x, y engineRow) int { return cmp.Compare(x.ID, y.ID) })
	return rows
}

func engineFlags(v *waxwire.ServerView) []string {
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

func drawEngines(w io.Writer, rows []engineRow) {
	row(w, "SERVER", "SERVICE", "DOMAIN", "ADDRESS", "STATE", "IN FLIGHT", "SLOTS", "FLAGS", "DISAGREE")
	for _, r := range rows {
		row(w, r.ID, r.Service, r.FailureDomain, r.Address, r.State, r.InFlight, r.Slots, dash(strings.Join(r.Flags, ",")),
			dash(strings.Join(r.Disagree, ",")))
	}
}
