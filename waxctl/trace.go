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

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// traceRow is one line of an instance's log about a request.
type traceRow struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

func newTrace(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST-ID [LOG...]",
		Short: "Show what the logs of instances on the users' platform say about a request, by time",
		Long: "Show what the logs of instances on the users' platform say about a request, by time.\n" +
			"Logs are JSON lines; without a file they are read from standard input.",
		Args: usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			rows, err := traceLogs(a.in, args[0], args[1:])
			if err != nil {
				return err
			}
			if len(rows) == 0 {
				return waxfleet.NewError(waxfleet.CodeObjectNotFound, "the logs have no line about request %s", args[0])
			}
			return a.emit(rows, func(w io.Writer) { drawTrace(w, rows) })
		},
	}
}

// traceLogs collects the lines about a request from files, or from in.
func traceLogs(in io.Reader, id string, files []string) ([]traceRow, error) {
	var rows []traceRow
	if len(files) == 0 {
		var err error
		if rows, err = traceLog(in, id); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeObjectNotFound, "the log %s can't be read", name)
		}
		more, err := traceLog(f, id)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	slices.SortStableFunc(rows, func(x, y traceRow) int { return x.At.Compare(y.At) })
	return rows, nil
}

// traceLog collects the lines about a request. Lines that are not JSON belong to
// other programs and are passed over.
func traceLog(in io.Reader, id string) ([]traceRow, error) {
	var rows []traceRow
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
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
		return nil, waxfleet.WrapError(err, waxfleet.CodeObjectUnreadable, "the log can't be read")
	}
	return rows, nil
}

// newTraceRow takes the fields that all lines have out of the others. A time that
// can't be read stays zero and sorts first.
func newTraceRow(fields map[string]any) traceRow {
	text := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	r := traceRow{Instance: text("instance"), Message: text("msg"), Fields: fields}
	r.At, _ = time.Parse(time.RFC3339Nano, text("time"))
	text("level")
	text("request")
	return r
}

func drawTrace(w io.Writer, rows []traceRow) {
	row(w, "AFTER MS", "INSTANCE", "MESSAGE", "FIELDS")
	for _, r := range rows {
		row(w, r.At.Sub(rows[0].At).Milliseconds(), dash(r.Instance), r.Message, fieldText(r.Fields))
	}
}

// fieldText returns the fields in the order of their names.
func fieldText(fields map[string]any) string {
	var out []string
	for name, value := range fields {
		out = append(out, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
