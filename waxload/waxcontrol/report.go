package waxcontrol

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the result as indented JSON.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the result as a text table, with traffic in bytes per second
// and instance.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "routers\tengines\tidle\tidle max\tloaded\tchanging\tB/change\trequests\tchanges\treads/s\twrites/s\t")
	for _, s := range r.Sizes {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.1f\t\n",
			s.Routers, s.Engines,
			s.IdleRate, s.MaxIdleRate, s.LoadedRate, s.ChangingRate, s.BytesPerChange,
			s.Requests, s.Changes,
			s.ReadRate, s.WriteRate)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "idle slope per instance: %.0f B/s for each router, %.0f B/s for each engine of the fleet\n",
		r.SlopePerRouter, r.SlopePerEngine)
	return err
}
