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

// emit writes value as JSON, or as the table that writeTable writes to w.
func (a *app) emit(value any, writeTable func(w io.Writer)) error {
	if a.wantsJSON() {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// writeRow writes one table row of tab-separated cells.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// indentJSON returns indented JSON that ends with a newline.
func indentJSON(raw []byte) (string, error) {
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return "", waxfleet.WrapError(err, waxfleet.CodeConfigInvalid, "invalid JSON")
	}
	buf.WriteByte('\n')
	return buf.String(), nil
}

// orDash returns text, or a dash for an empty table cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
