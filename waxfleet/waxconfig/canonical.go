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
		return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid, "%v", err)
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

// checkTokens refuses what encoding/json accepts without a word: repeated
// names, names in another form than namePattern, null and trailing data.
func checkTokens(raw []byte) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := checkValue(dec, nil); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the document is not JSON: data after its end; allowed: one JSON value")
	}
	return nil
}

func checkValue(dec *json.Decoder, path []string) error {
	token, err := dec.Token()
	if err != nil {
		return errors.Newf("the document is not JSON: %v", err)
	}
	if token == nil {
		return errors.Newf("path %s: value null; allowed: a value, or leave the name out", joinPath(path))
	}
	switch token {
	case json.Delim('{'):
		return checkObject(dec, path)
	case json.Delim('['):
		return checkArray(dec, path)
	}
	return nil
}

func checkObject(dec *json.Decoder, path []string) error {
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return errors.Newf("the document is not JSON: %v", err)
		}
		name, ok := token.(string)
		if !ok {
			return errors.Newf("the document is not JSON: name %v", token)
		}
		at := slices.Concat(path, []string{name})
		if !namePattern.MatchString(name) {
			return errors.Newf("path %s: name %q; allowed: %s", joinPath(at), name, allowedName)
		}
		if seen[name] {
			return errors.Newf("path %s: name %q occurs twice; allowed: once", joinPath(at), name)
		}
		seen[name] = true
		if err := checkValue(dec, at); err != nil {
			return err
		}
	}
	return closeValue(dec)
}

func checkArray(dec *json.Decoder, path []string) error {
	for i := 0; dec.More(); i++ {
		at := slices.Concat(path, []string{fmt.Sprintf("[%d]", i)})
		if err := checkValue(dec, at); err != nil {
			return err
		}
	}
	return closeValue(dec)
}

func closeValue(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return errors.Newf("the document is not JSON: %v", err)
	}
	return nil
}

func joinPath(path []string) string {
	if len(path) == 0 {
		return "(top)"
	}
	return strings.ReplaceAll(strings.Join(path, "."), ".[", "[")
}
