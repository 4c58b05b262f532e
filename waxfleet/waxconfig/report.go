package waxconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxProblems limits the length of an error message: one wrong unit in a section
	// of several thousand workspaces would otherwise be reported for each of them.
	maxProblems = 20
	// maxValueBytes is the length to which a value is truncated in an error message.
	maxValueBytes = 80
)

// problem is a value of a document that violates a constraint. path is the position of
// the value in the section, and allowed describes the allowed values.
type problem struct {
	section string
	path    string
	value   string
	allowed string
}

func (p problem) String() string {
	return fmt.Sprintf("section %s, path %s: value %s; allowed: %s", p.section, p.path, p.value, p.allowed)
}

// report collects the problems of a document, up to maxProblems.
type report struct {
	problems []problem
	omitted  int
}

func (r *report) add(section, path string, value any, format string, args ...any) {
	if len(r.problems) == maxProblems {
		r.omitted++
		return
	}
	if path == "" {
		path = "(top)"
	}
	r.problems = append(r.problems, problem{
		section: section, path: path, value: formatValue(value), allowed: fmt.Sprintf(format, args...),
	})
}

// err returns one error with CodeConfigInvalid that lists the problems, or nil if
// there are none.
func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(r.problems)+1)
	for _, p := range r.problems {
		lines = append(lines, p.String())
	}
	if r.omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", r.omitted))
	}
	return waxfleet.NewError(waxfleet.CodeConfigInvalid, "%s", strings.Join(lines, "\n"))
}

func formatValue(value any) string {
	var text string
	switch v := value.(type) {
	case json.RawMessage:
		text = string(v)
	case redacted:
		return "(redacted)"
	default:
		raw, err := encode(v)
		if err != nil {
			return "(cannot be encoded)"
		}
		text = string(raw)
	}
	if len(text) > maxValueBytes {
		text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return text
}

// redacted replaces a secret in an error message.
type redacted struct{}

// decodeEntries decodes a section that maps names to entries. A missing field has
// its value in defaults, which must not contain slices or maps: all entries would
// share them.
func decodeEntries[T any](r *report, section string, raw []byte, defaults T) map[string]T {
	var rawEntries map[string]json.RawMessage
	if err := json.Unmarshal(raw, &rawEntries); err != nil {
		r.add(section, "(top)", json.RawMessage(raw), "an object that maps names to entries")
		return nil
	}
	entries := make(map[string]T, len(rawEntries))
	for _, name := range sortedKeys(rawEntries) {
		entry := defaults
		if decodeValue(r, section, name, rawEntries[name], &entry) {
			entries[name] = entry
		}
	}
	return entries
}

// decodeValue decodes and validates a flat struct. It reports all fields that
// violate a constraint, all unknown fields, or the first field of a wrong type, and
// returns false if there are any.
func decodeValue(r *report, section, path string, raw json.RawMessage, dst any) bool {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	if err == nil {
		return validateValue(r, section, path, dst)
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr) && typeErr.Field != "":
		field, _, _ := strings.Cut(typeErr.Field, ".")
		r.add(section, joinField(path, field), fieldValue(raw, field), "%s", expectedType(dst, field))
	case errors.As(err, &typeErr):
		r.add(section, path, raw, "an object with the fields %s", strings.Join(fieldNames(dst), ", "))
	default:
		reportUnknownFields(r, section, path, raw, dst)
	}
	return false
}

func reportUnknownFields(r *report, section, path string, raw json.RawMessage, dst any) {
	known := fieldNames(dst)
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		r.add(section, path, raw, "an object with the fields %s", strings.Join(known, ", "))
		return
	}
	for _, name := range sortedKeys(fields) {
		if !slices.Contains(known, name) {
			r.add(section, joinField(path, name), redactSecret(name, fields[name]),
				"one of the fields %s", strings.Join(known, ", "))
		}
	}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("name", func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	}); err != nil {
		panic(err) // only a reserved tag name fails here
	}
	return v
}

func validateValue(r *report, section, path string, value any) bool {
	err := validate.Struct(value)
	if err == nil {
		return true
	}
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		r.add(section, path, value, "a valid value: %v", err)
		return false
	}
	for _, f := range fieldErrs {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		r.add(section, joinField(path, field), redactSecret(field, f.Value()), "%s", constraintText(f))
	}
	return false
}

// constraintTexts describes the values that a validator tag allows; %s is the
// parameter of the tag.
var constraintTexts = map[string]string{
	"required":    "a non-empty value",
	"oneof":       "one of %s",
	"gt":          "a number above %s",
	"gte":         "a number of at least %s",
	"lt":          "a number below %s",
	"lte":         "a number of at most %s",
	"startswith":  "a string that starts with %s",
	"len":         "exactly %s characters",
	"hexadecimal": "hexadecimal digits",
	"lowercase":   "lower-case letters",
	"printascii":  "printable ASCII characters",
	"unique":      "no duplicate entries",
	"name":        nameConstraint,
}

func constraintText(f validator.FieldError) string {
	switch f.Tag() {
	case "min":
		return fmt.Sprintf("at least %s %s", f.Param(), lengthUnit(f.Kind()))
	case "max":
		return fmt.Sprintf("at most %s %s", f.Param(), lengthUnit(f.Kind()))
	case "ltefield":
		return "at most the value of " + kebabCase(f.Param())
	}
	text, ok := constraintTexts[f.Tag()]
	if !ok {
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, f.Param())
	}
	return text
}

// kebabCase returns the document field name for a Go field name.
func kebabCase(goName string) string {
	var b strings.Builder
	for i, c := range goName {
		if unicode.IsUpper(c) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

func lengthUnit(kind reflect.Kind) string {
	if kind == reflect.String {
		return "characters"
	}
	return "entries"
}

// redactSecret hides API keys, which would otherwise be logged. It also hides fields
// whose name begins with "key", because the name may be misspelled.
func redactSecret(field string, value any) any {
	if strings.HasPrefix(field, "key") && !strings.HasPrefix(field, "key-digests") {
		return redacted{}
	}
	return value
}

func fieldValue(raw json.RawMessage, field string) any {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return raw
	}
	return redactSecret(field, fields[field])
}

func fieldNames(dst any) []string {
	t := reflect.TypeOf(dst).Elem()
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func expectedType(dst any, field string) string {
	t := reflect.TypeOf(dst).Elem()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == field {
			return typeDescription(t.Field(i).Type)
		}
	}
	return "another type"
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each entry " + typeDescription(t.Elem())
	}
	return "an object"
}

func joinField(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
