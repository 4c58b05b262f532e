// Package waxtrace reads, writes and generates request traces. A trace is a JSON
// Lines file with one request per line, in the order of timestamps.
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
	// BlockTokens is the number of prompt tokens per block, and so per hash ID.
	BlockTokens = 512
	// maxLineBytes is the maximum length of a line. It fits a prompt of MaxTokens.
	maxLineBytes = 4 << 20
	// MaxTokens is the maximum input length and output length of a request.
	MaxTokens = 1 << 24
)

// Record is one request of a trace. HashIDs has one ID per block of the prompt, including
// a partial last block. Equal IDs mean that the prompts are equal up to the end of the
// block.
type Record struct {
	// Timestamp is the arrival time in ms since the start of the trace.
	Timestamp    waxfleet.Millis `json:"timestamp"`
	InputLength  int             `json:"input_length"`
	OutputLength int             `json:"output_length"`
	HashIDs      []uint64        `json:"hash_ids"`
	Workspace    string          `json:"workspace,omitempty"`
	Chat         string          `json:"chat,omitempty"`
	Tier         string          `json:"tier,omitempty"`
	// AtMostOnce marks a call of the plain service that must run at most once.
	AtMostOnce bool `json:"once,omitempty"`
}

// ParseLine decodes and validates one line. Unknown fields are ignored, because
// published traces have additional fields. Errors have CodeTraceLineInvalid.
func ParseLine(line []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(line, &r); err != nil {
		return Record{}, waxfleet.WrapError(err, waxfleet.CodeTraceLineInvalid, "decode trace record")
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) validate() error {
	switch {
	case r.Timestamp < 0:
		return lineError("timestamp %d is negative", r.Timestamp)
	case r.OutputLength < 0 || r.OutputLength > MaxTokens:
		return lineError("output_length %d is not between 0 and %d", r.OutputLength, MaxTokens)
	case r.InputLength < 0 || r.InputLength > MaxTokens:
		return lineError("input_length %d is not between 0 and %d", r.InputLength, MaxTokens)
	case !r.AtMostOnce && r.InputLength == 0:
		return lineError("input_length is missing")
	case len(r.HashIDs) != BlockCount(r.InputLength):
		return lineError("%d hash_ids for %d tokens, want %d", len(r.HashIDs), r.InputLength, BlockCount(r.InputLength))
	}
	return nil
}

func lineError(format string, args ...any) error {
	return waxfleet.NewError(waxfleet.CodeTraceLineInvalid, format, args...)
}

// BlockCount returns the number of blocks of a prompt, rounded up.
func BlockCount(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// PrefixTokens returns the number of prompt tokens in the first blocks.
func (r Record) PrefixTokens(blocks int) int { return min(blocks*BlockTokens, r.InputLength) }

// ReadFile reads a trace from a file. It returns either all records or an error.
//
// Errors: CodeTraceUnreadable with the file name, CodeTraceLineInvalid with the
// file name and the line number.
func ReadFile(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeTraceUnreadable, "%s", path)
	}
	defer func() { _ = f.Close() }()
	return Read(f, path)
}

// Read reads a trace from r. Its errors are those of ReadFile, with name as the
// file name.
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
			err = lineError("timestamp %d is earlier than that of the previous record", record.Timestamp)
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

// Write writes records as JSON Lines. Errors have CodeTraceUnreadable.
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

// Parse reads a trace from memory. Its errors are those of Read.
func Parse(data []byte, name string) ([]Record, error) { return Read(bytes.NewReader(data), name) }
