// Package waxtrace reads, writes and generates request traces. A trace is a
// file of JSON lines, one request each, in the order of their timestamps.
package waxtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"waxwingdrift.org/waxfleet"
)

const (
	// BlockTokens is the number of prompt tokens that one hash id stands for.
	BlockTokens = 512
	// maxLineBytes bounds one line; a prompt of MaxTokens needs less.
	maxLineBytes = 4 << 20
	// MaxTokens bounds the lengths of one request, in tokens.
	MaxTokens = 1 << 24
)

// Record is one request of a trace. HashIDs has one entry per started block of
// the prompt; equal ids stand for equal text from the start of the prompt on.
type Record struct {
	// Timestamp is the arrival in ms since the start of the trace.
	Timestamp    waxfleet.Millis `json:"timestamp"`
	InputLength  int             `json:"input_length"`
	OutputLength int             `json:"output_length"`
	HashIDs      []uint64        `json:"hash_ids"`
	Workspace    string          `json:"workspace,omitempty"`
	Chat         string          `json:"chat,omitempty"`
	Tier         string          `json:"tier,omitempty"`
	// Once marks a call of the plain service that may not be repeated.
	Once bool `json:"once,omitempty"`
}

// ParseLine decodes and checks one line. Unknown fields are ignored, because
// published traces carry fields of their own.
func ParseLine(line []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(line, &r); err != nil {
		return Record{}, waxfleet.WrapError(err, waxfleet.CodeTraceLineInvalid, "not a trace record")
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) check() error {
	switch {
	case r.Timestamp < 0:
		return invalid("timestamp %d is negative", r.Timestamp)
	case r.OutputLength < 0 || r.OutputLength > MaxTokens:
		return invalid("output_length %d is not between 0 and %d", r.OutputLength, MaxTokens)
	case r.InputLength < 0 || r.InputLength > MaxTokens:
		return invalid("input_length %d is not between 0 and %d", r.InputLength, MaxTokens)
	case !r.Once && r.InputLength == 0:
		return invalid("input_length is missing")
	case len(r.HashIDs) != Blocks(r.InputLength):
		return invalid("%d hash_ids for %d tokens, want %d", len(r.HashIDs), r.InputLength, Blocks(r.InputLength))
	}
	return nil
}

func invalid(format string, args ...any) error {
	return waxfleet.NewError(waxfleet.CodeTraceLineInvalid, format, args...)
}

// Blocks returns the number of blocks that a prompt of that many tokens starts.
func Blocks(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// PrefixTokens returns the tokens in the first blocks of the prompt.
func (r Record) PrefixTokens(blocks int) int { return min(blocks*BlockTokens, r.InputLength) }

// ReadFile reads a whole trace. On an error it returns no records.
//
// Errors: CodeTraceUnreadable names the file, CodeTraceLineInvalid the file and
// the line.
func ReadFile(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeTraceUnreadable, "%s", path)
	}
	defer func() { _ = f.Close() }()
	return Read(f, path)
}

// Read is ReadFile for an open trace; name stands in the errors.
func Read(r io.Reader, name string) ([]Record, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var records []Record
	number := 0
	for lines.Scan() {
		number++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		record, err := ParseLine(line)
		if err == nil && len(records) > 0 && record.Timestamp < records[len(records)-1].Timestamp {
			err = invalid("timestamp %d is before that of the record above", record.Timestamp)
		}
		if err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeTraceLineInvalid, "%s:%d", name, number)
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeTraceUnreadable, "%s:%d", name, number+1)
	}
	return records, nil
}

// Write writes records as JSON lines.
func Write(w io.Writer, records []Record) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return waxfleet.WrapError(err, waxfleet.CodeTraceUnreadable, "write record %d", i)
		}
	}
	if err := buffered.Flush(); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeTraceUnreadable, "write trace")
	}
	return nil
}

// Parse reads a trace that is in memory; name stands for it in errors.
func Parse(data []byte, name string) ([]Record, error) { return Read(bytes.NewReader(data), name) }
