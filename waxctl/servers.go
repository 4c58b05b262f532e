package main

import (
	"cmp"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

func init() { register(newServers) }

// serverRow is one backend server at one holder. A server that two instances
// report has a row for each.
type serverRow struct {
	ID            string   `json:"id"`
	Service       string   `json:"service"`
	FailureDomain string   `json:"failure-domain"`
	Address       string   `json:"address"`
	State         string   `json:"state"`
	Holder        string   `json:"holder"`
	InFlight      int32    `json:"in-flight"`
	Window        int32    `json:"window"`
	Limit         int64    `json:"limit"`
	Queued        int32    `json:"queued"`
	Flags         []string `json:"flags"`
}

func newServers(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "servers",
		Short: "List the backend servers with load, window and holder",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.limit(cmd.Context())
			defer cancel()
			routers, servers, err := a.listInstances(ctx)
			if err != nil {
				return err
			}
			answers, err := askRouters(ctx, a, routers, askStatus)
			if err != nil {
				return err
			}
			rows := newServerRows(servers, answers)
			return a.emit(rows, func(w io.Writer) { drawServers(w, rows) })
		},
	}
}

func newServerRows(servers []waxfleet.BackendServer, answers []routerAnswer[*waxwire.StatusReply]) []serverRow {
	listed := make(map[string]waxfleet.BackendServer, len(servers))
	held := map[string]bool{}
	for _, b := range servers {
		listed[b.ID()] = b
	}
	rows := []serverRow{}
	for _, answer := range answers {
		for _, s := range answer.value.GetBackendServers() {
			if s.GetGone() {
				continue
			}
			rows = append(rows, newServerRow(s, listed[s.GetId()], answer.router.ID()))
			held[s.GetId()] = true
		}
	}
	for _, b := range servers {
		if !held[b.ID()] {
			rows = append(rows, newServerRow(&waxwire.BackendState{Id: b.ID()}, b, ""))
		}
	}
	slices.SortFunc(rows, func(x, y serverRow) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Holder, y.Holder))
	})
	return rows
}

func newServerRow(s *waxwire.BackendState, b waxfleet.BackendServer, holder string) serverRow {
	return serverRow{
		ID: s.GetId(), Service: cmp.Or(b.Service(), s.GetService()), FailureDomain: b.FailureDomain(),
		Address: b.Address(), State: string(b.State()), Holder: holder, InFlight: s.GetInFlight(),
		Window: s.GetWindow(), Limit: s.GetLimit(), Queued: s.GetQueued(), Flags: serverFlags(s),
	}
}

func serverFlags(s *waxwire.BackendState) []string {
	flags := []string{}
	for _, f := range []struct {
		name string
		set  bool
	}{{"warm", s.GetWarm()}, {"leaving", s.GetLeaving()}, {"dead", s.GetDead()}, {"residual", s.GetResidual()}} {
		if f.set {
			flags = append(flags, f.name)
		}
	}
	return flags
}

func drawServers(w io.Writer, rows []serverRow) {
	row(w, "SERVER", "SERVICE", "DOMAIN", "ADDRESS", "STATE", "HOLDER", "IN FLIGHT", "WINDOW", "LIMIT", "QUEUED", "FLAGS")
	for _, r := range rows {
		row(w, r.ID, dash(r.Service), dash(r.FailureDomain), dash(r.Address), dash(r.State), dash(r.Holder),
			r.InFlight, r.Window, r.Limit, r.Queued, dash(strings.Join(r.Flags, ",")))
	}
}
