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

// namePattern is the syntax of section, entry and field names. It excludes
// upper-case letters because encoding/json matches field names case-insensitively
// and would silently accept "Kind" as "kind".
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

const nameConstraint = "1 to 128 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit"

// Canonical returns the canonical form of a JSON document: sorted names, no white
// space, and numbers as IEEE 754 doubles in their shortest form.
//
// It rejects duplicate names and null because a merge patch (RFC 7396) can
// reproduce neither.
//
// Errors: CodeConfigInvalid; CodeConfigTooLarge.
func Canonical(raw []byte) ([]byte, error) {
	if len(raw) > waxfleet.MaxObjectBytes {
		return nil, waxfleet.NewError(waxfleet.CodeConfigTooLarge,
			"the document has %d bytes; allowed: at most %d", len(raw), waxfleet.MaxObjectBytes)
	}
	if err := checkTokens(raw); err != nil {
		return nil, err.withCode("", err.path)
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid, "the document is not valid JSON: %v", err)
	}
	return encode(value)
}

// Digest returns the SHA-256 of a canonical document as lower-case hex.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// encode returns JSON without HTML escapes and without a final newline.
func encode(value any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "encode configuration")
	}
	return bytes.TrimRight(buf.Bytes(), "\n"), nil
}

// tokenError is an error found by checkTokens. path is nil for a syntax error.
type tokenError struct {
	path    []string
	message string
}

func newTokenError(path []string, format string, args ...any) *tokenError {
	return &tokenError{path: path, message: fmt.Sprintf(format, args...)}
}

// withCode returns the error for a caller, with CodeConfigInvalid. prefix names the
// section if it is known, and at is the path in it.
func (e *tokenError) withCode(prefix string, at []string) error {
	if e.path == nil {
		return waxfleet.NewError(waxfleet.CodeConfigInvalid, "%s", e.message)
	}
	return waxfleet.NewError(waxfleet.CodeConfigInvalid, "%spath %s: %s", prefix, joinPath(at), e.message)
}

// checkTokens rejects input that encoding/json accepts silently: duplicate names,
// names that do not match namePattern, null, and trailing data.
func checkTokens(raw []byte) *tokenError {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := checkValue(dec, []string{}); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newTokenError(nil, "the document is not valid JSON: data after the top-level value; allowed: one JSON value")
	}
	return nil
}

func checkValue(dec *json.Decoder, path []string) *tokenError {
	token, err := dec.Token()
	if err != nil {
		return syntaxError(err)
	}
	if token == nil {
		return newTokenError(path, "value null; allowed: a value other than null, or omit the name")
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
			return syntaxError(err)
		}
		name := fmt.Sprint(token)
		at := slices.Concat(path, []string{name})
		if !namePattern.MatchString(name) {
			return newTokenError(at, "name %q; allowed: %s", name, nameConstraint)
		}
		if seen[name] {
			return newTokenError(at, "duplicate name %q; allowed: once", name)
		}
		seen[name] = true
		if err := checkValue(dec, at); err != nil {
			return err
		}
	}
	return readClosingDelim(dec)
}

func checkArray(dec *json.Decoder, path []string) *tokenError {
	for i := 0; dec.More(); i++ {
		if err := checkValue(dec, slices.Concat(path, []string{fmt.Sprintf("[%d]", i)})); err != nil {
			return err
		}
	}
	return readClosingDelim(dec)
}

func readClosingDelim(dec *json.Decoder) *tokenError {
	if _, err := dec.Token(); err != nil {
		return syntaxError(err)
	}
	return nil
}

func syntaxError(err error) *tokenError {
	return newTokenError(nil, "the document is not valid JSON: %v", err)
}

func joinPath(path []string) string {
	if len(path) == 0 {
		return "(top)"
	}
	return strings.ReplaceAll(strings.Join(path, "."), ".[", "[")
}
