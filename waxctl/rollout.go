package main

import (
	"cmp"
	"context"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxrollout"
)

// rolloutRow is the rollout of a service: its stored record, and the status and the problem of
// the operator's order. A row without a phase has no record, and one without an order was
// withdrawn.
type rolloutRow struct {
	Service string `json:"service"`
	Order   string `json:"order"`
	To      string `json:"to"`
	Status  string `json:"status"`
	Phase   string `json:"phase"`
	// Share is that of new requests which go to the new version.
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
	Holder string  `json:"holder"`
	Term   uint64  `json:"term"`
	// ElapsedMs is the time since the order as of the last write of the record.
	ElapsedMs  int64 `json:"elapsed-ms"`
	DurationMs int64 `json:"duration-ms"`
	// Requests, Exposed and Bad are the requests of the service, those at the new version, and
	// its bad responses, since the order.
	Requests uint64 `json:"requests"`
	Exposed  uint64 `json:"exposed"`
	Bad      uint64 `json:"bad"`
	Problem  string `json:"problem"`
}

// newInspectRollouts returns the command that shows rollouts.
func newInspectRollouts(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "rollouts [SERVICE]", Short: "List the rollouts of software versions, as their records in the store say",
		Args: usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			rows, err := a.fetchRollouts(cmd.Context())
			if err != nil {
				return err
			}
			if len(args) > 0 {
				rows = slices.DeleteFunc(rows, func(r rolloutRow) bool { return r.Service != args[0] })
			}
			return a.emit(rows, func(w io.Writer) { writeRollouts(w, rows) })
		},
	}
}

// fetchRollouts returns all orders and records of rollouts, by service.
//
// Errors: CodeSettingInvalid if no store is set; those of the store.
func (a *app) fetchRollouts(ctx context.Context) ([]rolloutRow, error) {
	store, err := metadataStore(a.settings.GetString(flagStore))
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	orders, err := store.Rollouts().List(ctx)
	if err != nil {
		return nil, err
	}
	records, err := store.RolloutRecords().Read(ctx)
	if err != nil {
		return nil, err
	}
	return newRolloutRows(orders.Records, records), nil
}

// newRolloutRows returns a row for each order, and for each record without an order.
func newRolloutRows(orders []waxfleet.Record[waxfleet.Rollout], records []waxfleet.Text) []rolloutRow {
	rows := make([]rolloutRow, 0, len(orders)+len(records))
	for _, o := range orders {
		rows = append(rows, rolloutRow{
			Service: cmp.Or(o.Value.Service, o.Name), Order: o.Name, To: o.Value.To, Status: o.Value.Status.State,
			DurationMs: int64(o.Value.Duration), Problem: o.DecodeError,
		})
	}
	for _, t := range records {
		i := slices.IndexFunc(rows, func(r rolloutRow) bool { return r.Service == t.Name })
		if i < 0 {
			i, rows = len(rows), append(rows, rolloutRow{Service: t.Name})
		}
		r := &rows[i]
		record, err := waxrollout.DecodeRecord(t.Text)
		if err != nil {
			r.Problem = err.Error()
			continue
		}
		if r.To != "" && r.To != record.Order().To() {
			r.Problem = "the record is that of version " + record.Order().To()
		}
		r.To, r.DurationMs = cmp.Or(r.To, record.Order().To()), cmp.Or(r.DurationMs, int64(record.Order().Duration()))
		r.Phase, r.Share, r.Reason = record.Phase().String(), record.Share(), string(record.Reason())
		r.Holder, r.Term, r.ElapsedMs = record.Holder(), record.Term(), int64(record.Elapsed())
		r.Requests, r.Exposed, r.Bad = record.Requests(), record.Exposed(), record.JudgedBad()
	}
	slices.SortFunc(rows, func(x, y rolloutRow) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Order, y.Order))
	})
	return rows
}

func writeRollouts(w io.Writer, rows []rolloutRow) {
	writeRow(w, "SERVICE", "ORDER", "TO", "STATUS", "PHASE", "SHARE", "REASON", "HOLDER", "TERM", "ELAPSED MS", "DURATION MS",
		"REQUESTS", "EXPOSED", "BAD", "PROBLEM")
	for _, r := range rows {
		writeRow(w, r.Service, orDash(r.Order), orDash(r.To), orDash(r.Status), orDash(r.Phase), r.Share, orDash(r.Reason), orDash(r.Holder),
			r.Term, r.ElapsedMs, r.DurationMs, r.Requests, r.Exposed, r.Bad, orDash(r.Problem))
	}
}
