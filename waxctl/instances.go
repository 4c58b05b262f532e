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
			ctx, cancel := a.limit(cmd.Context())
			defer cancel()
			routers, _, err := a.listInstances(ctx)
			if err != nil {
				return err
			}
			answers, err := askRouters(ctx, a, routers, askStatus)
			rows := make([]instanceRow, 0, len(answers))
			for _, answer := range answers {
				rows = append(rows, newInstanceRow(answer))
			}
			if emitErr := a.emit(rows, func(w io.Writer) { drawInstances(w, rows) }); emitErr != nil {
				return emitErr
			}
			return err
		},
	}
}

func askStatus(ctx context.Context, c waxwireconnect.PeerClient) (*waxwire.StatusReply, error) {
	resp, err := c.Status(ctx, connect.NewRequest(&waxwire.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func newInstanceRow(answer routerAnswer[*waxwire.StatusReply]) instanceRow {
	r, status := answer.router, answer.value
	owned := 0
	for _, b := range status.GetBackendServers() {
		if !b.GetResidual() && !b.GetGone() {
			owned++
		}
	}
	return instanceRow{
		ID: r.ID(), FailureDomain: r.FailureDomain(), PeerAddress: r.PeerAddress(), State: string(r.State()),
		Answers: answer.err == nil, Mode: status.GetMode(), Epoch: status.GetEpoch(),
		ConfigVersion: status.GetConfigVersion(), Owned: owned,
	}
}

func drawInstances(w io.Writer, rows []instanceRow) {
	row(w, "INSTANCE", "DOMAIN", "PEER ADDRESS", "STATE", "ANSWERS", "MODE", "EPOCH", "CONFIG", "OWNED")
	for _, r := range rows {
		row(w, r.ID, r.FailureDomain, r.PeerAddress, r.State, r.Answers, dash(r.Mode), r.Epoch, r.ConfigVersion, r.Owned)
	}
}
