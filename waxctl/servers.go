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

// serverRow is the state of a backend server as one router, the holder, reports it. A
// server that two routers report has two rows; one that none reports has a row without
// a holder.
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
		Short: "List the backend servers with their load, window and holder",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			routers, servers, err := a.listInstances(ctx)
			if err != nil {
				return err
			}
			replies, err := queryRouters(ctx, a, routers, fetchStatus)
			if err != nil {
				return err
			}
			rows := newServerRows(servers, replies)
			return a.emit(rows, func(w io.Writer) { writeServers(w, rows) })
		},
	}
}

// newServerRows returns the rows sorted by the IDs of server and holder.
func newServerRows(servers []waxfleet.BackendServer, replies []routerReply[*waxwire.StatusReply]) []serverRow {
	listed := make(map[string]waxfleet.BackendServer, len(servers))
	reported := map[string]bool{}
	for _, b := range servers {
		listed[b.ID()] = b
	}
	rows := []serverRow{}
	for _, reply := range replies {
		for _, s := range reply.value.GetBackendServers() {
			if s.GetGone() {
				continue
			}
			rows = append(rows, newServerRow(s, listed[s.GetId()], reply.router.ID()))
			reported[s.GetId()] = true
		}
	}
	for _, b := range servers {
		if !reported[b.ID()] {
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
		ID:            s.GetId(),
		Service:       cmp.Or(b.Service(), s.GetService()),
		FailureDomain: b.FailureDomain(),
		Address:       b.Address(),
		State:         string(b.State()),
		Holder:        holder,
		InFlight:      s.GetInFlight(),
		Window:        s.GetWindow(),
		Limit:         s.GetLimit(),
		Queued:        s.GetQueued(),
		Flags:         serverFlags(s),
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

func writeServers(w io.Writer, rows []serverRow) {
	writeRow(w, "SERVER", "SERVICE", "DOMAIN", "ADDRESS", "STATE", "HOLDER", "IN FLIGHT", "WINDOW", "LIMIT", "QUEUED", "FLAGS")
	for _, r := range rows {
		writeRow(w, r.ID, orDash(r.Service), orDash(r.FailureDomain), orDash(r.Address), orDash(r.State), orDash(r.Holder),
			r.InFlight, r.Window, r.Limit, r.Queued, orDash(strings.Join(r.Flags, ",")))
	}
}
