package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
)

func init() { register(newTrace) }

// maxLogLineBytes is the maximum length of a log line. A longer line is an error.
const maxLogLineBytes = 1 << 20

// traceRow is a log line about a request. Fields holds the fields that not every line
// has.
type traceRow struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

func newTrace(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST-ID [LOG...]",
		Short: "Show the log lines about a request in time order",
		Long: "Show the lines about a request in the logs of instances started with waxrouter route, in time order.\n" +
			"The logs are JSON lines and are read from standard input if no file is given.",
		Args: usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			rows, err := readTrace(a.in, args[0], args[1:])
			if err != nil {
				return err
			}
			if len(rows) == 0 {
				return waxfleet.NewError(waxfleet.CodeObjectNotFound, "no log line is about request %s", args[0])
			}
			return a.emit(rows, func(w io.Writer) { writeTrace(w, rows) })
		},
	}
}

// readTrace returns the lines about a request, in time order, from the files or, if
// there are none, from in.
func readTrace(in io.Reader, id string, files []string) ([]traceRow, error) {
	var rows []traceRow
	if len(files) == 0 {
		var err error
		if rows, err = scanLog(in, id); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeObjectNotFound, "cannot read log %s", name)
		}
		more, err := scanLog(f, id)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	slices.SortStableFunc(rows, func(x, y traceRow) int { return x.At.Compare(y.At) })
	return rows, nil
}

// scanLog returns the lines about a request. It skips lines that are not JSON, which
// other programs write.
func scanLog(in io.Reader, id string) ([]traceRow, error) {
	var rows []traceRow
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(scanner.Bytes(), &fields) != nil || fields["request"] != id {
			continue
		}
		rows = append(rows, newTraceRow(fields))
	}
	if err := scanner.Err(); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeObjectUnreadable, "cannot read log")
	}
	return rows, nil
}

// newTraceRow returns a log line with these fields. Fields that every line has are
// removed from Fields. An invalid time becomes the zero time, which sorts first.
func newTraceRow(fields map[string]any) traceRow {
	remove := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	r := traceRow{Instance: remove("instance"), Message: remove("msg"), Fields: fields}
	r.At, _ = time.Parse(time.RFC3339Nano, remove("time"))
	remove("level")
	remove("request")
	return r
}

func writeTrace(w io.Writer, rows []traceRow) {
	writeRow(w, "AFTER MS", "INSTANCE", "MESSAGE", "FIELDS")
	for _, r := range rows {
		writeRow(w, r.At.Sub(rows[0].At).Milliseconds(), orDash(r.Instance), r.Message, formatFields(r.Fields))
	}
}

// formatFields returns the fields sorted by name.
func formatFields(fields map[string]any) string {
	var out []string
	for name, value := range fields {
		out = append(out, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
