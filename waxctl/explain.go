package main

import (
	"cmp"
	"context"
	"io"
	"slices"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

func init() { register(newExplain) }

type decisionRow struct {
	AtMs     int64  `json:"at-ms"`
	Instance string `json:"instance"`
	Step     string `json:"step"`
	Detail   string `json:"detail"`
}

func newExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show the decisions of the routers about a request in time order",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			routers, _, err := a.listInstances(ctx)
			if err != nil {
				return err
			}
			replies, err := queryRouters(ctx, a, routers, func(ctx context.Context, c waxwireconnect.PeerClient) (*waxwire.ExplainReply, error) {
				resp, err := c.Explain(ctx, connect.NewRequest(&waxwire.ExplainRequest{RequestId: args[0]}))
				if err != nil {
					return nil, err
				}
				return resp.Msg, nil
			})
			if err != nil {
				return err
			}
			rows := mergeDecisions(replies)
			if len(rows) == 0 {
				return waxfleet.NewError(waxfleet.CodeObjectNotFound, "no reachable router has a record of request %s", args[0])
			}
			return a.emit(rows, func(w io.Writer) { writeDecisions(w, rows) })
		},
	}
}

// mergeDecisions returns all decisions in time order. Decisions of one router in the
// same millisecond keep their order.
func mergeDecisions(replies []routerReply[*waxwire.ExplainReply]) []decisionRow {
	var rows []decisionRow
	for _, reply := range replies {
		for _, d := range reply.value.GetDecisions() {
			rows = append(rows, decisionRow{
				AtMs:     d.GetAtMs(),
				Instance: cmp.Or(d.GetInstance(), reply.router.ID()),
				Step:     d.GetStep(),
				Detail:   d.GetDetail(),
			})
		}
	}
	slices.SortStableFunc(rows, func(x, y decisionRow) int { return cmp.Compare(x.AtMs, y.AtMs) })
	return rows
}

func writeDecisions(w io.Writer, rows []decisionRow) {
	writeRow(w, "AFTER MS", "INSTANCE", "STEP", "DETAIL")
	for _, r := range rows {
		writeRow(w, r.AtMs-rows[0].AtMs, r.Instance, r.Step, r.Detail)
	}
}
