package waxconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
)

// Section names and field names share one form. Upper-case letters are refused
// because encoding/json matches field names without regard to case, so "Kind"
// would silently be taken for "kind".
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

const allowedName = "1 to 128 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit"

// Canonical returns the canonical form of a JSON document: sorted names, no
// white space, and numbers as IEEE 754 doubles in their shortest form.
//
// Names that occur twice and null are refused: a merge patch (RFC 7396) can
// reproduce neither.
func Canonical(raw []byte) ([]byte, error) {
	if len(raw) > waxfleet.MaxObjectBytes {
		return nil, waxfleet.NewError(waxfleet.CodeConfigTooLarge,
			"the document has %d bytes; allowed: at most %d", len(raw), waxfleet.MaxObjectBytes)
	}
	if err := checkTokens(raw); err != nil {
		return nil, err.coded("", err.path)
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid, "the document is not JSON: %v", err)
	}
	return encode(value)
}

// Digest returns the hex SHA-256 of a canonical document.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

func encode(value any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "encode configuration")
	}
	return bytes.TrimRight(buf.Bytes(), "\n"), nil
}

// tokenError is a fault that checkTokens found.
type tokenError struct {
	path  []string
	fault string
}

func newTokenError(path []string, format string, args ...any) *tokenError {
	return &tokenError{path: path, fault: fmt.Sprintf(format, args...)}
}

// coded returns the error for a caller. prefix names the section, if known, and
// at is the path in it.
func (e *tokenError) coded(prefix string, at []string) error {
	if e.path == nil {
		return waxfleet.NewError(waxfleet.CodeConfigInvalid, "%s", e.fault)
	}
	return waxfleet.NewError(waxfleet.CodeConfigInvalid, "%spath %s: %s", prefix, joinPath(at), e.fault)
}

// checkTokens refuses what encoding/json accepts without a word: repeated
// names, names in another form than namePattern, null and trailing data.
func checkTokens(raw []byte) *tokenError {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := checkValue(dec, []string{}); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newTokenError(nil, "the document is not JSON: data after its end; allowed: one JSON value")
	}
	return nil
}

func checkValue(dec *json.Decoder, path []string) *tokenError {
	token, err := dec.Token()
	if err != nil {
		return notJSON(err)
	}
	if token == nil {
		return newTokenError(path, "value null; allowed: a value, or leave the name out")
	}
	switch token {
	case json.Delim('{'):
		return checkObject(dec, path)
	case json.Delim('['):
		return checkArray(dec, path)
	}
	return nil
}

func checkObject(dec *json.Decoder, path []string) *tokenError {
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return notJSON(err)
		}
		name := fmt.Sprint(token)
		at := slices.Concat(path, []string{name})
		if !namePattern.MatchString(name) {
			return newTokenError(at, "name %q; allowed: %s", name, allowedName)
		}
		if seen[name] {
			return newTokenError(at, "name %q occurs twice; allowed: once", name)
		}
		seen[name] = true
		if err := checkValue(dec, at); err != nil {
			return err
		}
	}
	return closeValue(dec)
}

func checkArray(dec *json.Decoder, path []string) *tokenError {
	for i := 0; dec.More(); i++ {
		if err := checkValue(dec, slices.Concat(path, []string{fmt.Sprintf("[%d]", i)})); err != nil {
			return err
		}
	}
	return closeValue(dec)
}

func closeValue(dec *json.Decoder) *tokenError {
	if _, err := dec.Token(); err != nil {
		return notJSON(err)
	}
	return nil
}

func notJSON(err error) *tokenError { return newTokenError(nil, "the document is not JSON: %v", err) }

func joinPath(path []string) string {
	if len(path) == 0 {
		return "(top)"
	}
	return strings.ReplaceAll(strings.Join(path, "."), ".[", "[")
}
