package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"waxwingdrift.org/waxfleet"
)

// emit writes value as JSON, or the table that draw writes.
func (a *app) emit(value any, draw func(w io.Writer)) error {
	if a.json() {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	draw(w)
	return w.Flush()
}

// row writes one row of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// indent returns JSON in lines, with a line end.
func indent(raw []byte) (string, error) {
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return "", waxfleet.WrapError(err, waxfleet.CodeConfigInvalid, "not JSON")
	}
	buf.WriteByte('\n')
	return buf.String(), nil
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
