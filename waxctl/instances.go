package main

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

func init() { register(newInstances) }

// instanceRow is a router. Answers is false if its query failed; Mode and the numbers
// are then empty.
type instanceRow struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	PeerAddress   string `json:"peer-address"`
	State         string `json:"state"`
	Answers       bool   `json:"answers"`
	Mode          string `json:"mode"`
	Epoch         uint64 `json:"epoch"`
	ConfigVersion uint64 `json:"config-version"`
	Owned         int    `json:"owned"`
}

func newInstances(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "instances",
		Short: "List the routers with their state, epoch and configuration version",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			routers, _, err := a.listInstances(ctx)
			if err != nil {
				return err
			}
			replies, err := queryRouters(ctx, a, routers, fetchStatus)
			rows := make([]instanceRow, 0, len(replies))
			for _, reply := range replies {
				rows = append(rows, newInstanceRow(reply))
			}
			if emitErr := a.emit(rows, func(w io.Writer) { writeInstances(w, rows) }); emitErr != nil {
				return emitErr
			}
			return err
		},
	}
}

func fetchStatus(ctx context.Context, c waxwireconnect.PeerClient) (*waxwire.StatusReply, error) {
	resp, err := c.Status(ctx, connect.NewRequest(&waxwire.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func newInstanceRow(reply routerReply[*waxwire.StatusReply]) instanceRow {
	r, status := reply.router, reply.value
	owned := 0
	for _, b := range status.GetBackendServers() {
		if !b.GetResidual() && !b.GetGone() {
			owned++
		}
	}
	return instanceRow{
		ID:            r.ID(),
		FailureDomain: r.FailureDomain(),
		PeerAddress:   r.PeerAddress(),
		State:         string(r.State()),
		Answers:       reply.err == nil,
		Mode:          status.GetMode(),
		Epoch:         status.GetEpoch(),
		ConfigVersion: status.GetConfigVersion(),
		Owned:         owned,
	}
}

func writeInstances(w io.Writer, rows []instanceRow) {
	writeRow(w, "INSTANCE", "DOMAIN", "PEER ADDRESS", "STATE", "ANSWERS", "MODE", "EPOCH", "CONFIG", "OWNED")
	for _, r := range rows {
		writeRow(w, r.ID, r.FailureDomain, r.PeerAddress, r.State, r.Answers, orDash(r.Mode),
			r.Epoch, r.ConfigVersion, r.Owned)
	}
}
