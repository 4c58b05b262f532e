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
	// maxProblems bounds the length of an error message; a wrong unit in a
	// section of several thousand workspaces would repeat it for each.
	maxProblems   = 20
	maxValueBytes = 80
)

// problem is one fault of a document.
type problem struct {
	section string
	path    string
	value   string
	allowed string
}

func (p problem) String() string {
	return fmt.Sprintf("section %s, path %s: value %s; allowed: %s", p.section, p.path, p.value, p.allowed)
}

// report collects the problems of a document.
type report struct {
	problems []problem
	dropped  int
}

func (r *report) add(section, path string, value any, format string, args ...any) {
	if len(r.problems) == maxProblems {
		r.dropped++
		return
	}
	if path == "" {
		path = "(top)"
	}
	r.problems = append(r.problems, problem{
		section: section, path: path, value: showValue(value), allowed: fmt.Sprintf(format, args...),
	})
}

// err returns nil, or one error with CodeConfigInvalid that names all problems.
func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(r.problems)+1)
	for _, p := range r.problems {
		lines = append(lines, p.String())
	}
	if r.dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", r.dropped))
	}
	return waxfleet.NewError(waxfleet.CodeConfigInvalid, "%s", strings.Join(lines, "\n"))
}

func showValue(value any) string {
	var text string
	switch v := value.(type) {
	case json.RawMessage:
		text = string(v)
	case redacted:
		return "(not shown)"
	default:
		raw, err := encode(v)
		if err != nil {
			return "(not shown)"
		}
		text = string(raw)
	}
	if len(text) > maxValueBytes {
		text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return text
}

// redacted stands for a secret in an error message.
type redacted struct{}

// decodeEntries decodes a section that maps names to entries. A field that is
// left out keeps its value in defaults, which must hold no slices or maps.
func decodeEntries[T any](r *report, section string, raw []byte, defaults T) map[string]T {
	var rawEntries map[string]json.RawMessage
	if err := json.Unmarshal(raw, &rawEntries); err != nil {
		r.add(section, "(top)", json.RawMessage(raw), "an object of names and entries")
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

// decodeValue decodes and checks one flat struct. It reports every field that
// breaks a rule, or the first one with a wrong type.
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
		r.add(section, joinField(path, field), fieldValue(raw, field), "%s", typeText(dst, field))
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
			r.add(section, joinField(path, name), shown(name, fields[name]), "one of the fields %s", strings.Join(known, ", "))
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
		r.add(section, joinField(path, field), shown(field, f.Value()), "%s", ruleText(f))
	}
	return false
}

// ruleTexts says what a validator tag allows; %s is the tag's parameter.
var ruleTexts = map[string]string{
	"required":    "a value must be given",
	"oneof":       "one of %s",
	"gt":          "a number above %s",
	"gte":         "a number of at least %s",
	"lt":          "a number below %s",
	"lte":         "a number of at most %s",
	"startswith":  "a text that starts with %s",
	"len":         "exactly %s characters",
	"hexadecimal": "hexadecimal digits",
	"lowercase":   "lower-case letters",
	"printascii":  "printable ASCII characters",
	"unique":      "no entry twice",
	"name":        allowedName,
}

func ruleText(f validator.FieldError) string {
	switch f.Tag() {
	case "min":
		return fmt.Sprintf("at least %s %s", f.Param(), countedUnit(f.Kind()))
	case "max":
		return fmt.Sprintf("at most %s %s", f.Param(), countedUnit(f.Kind()))
	case "ltefield":
		return "at most the value of " + kebab(f.Param())
	}
	text, ok := ruleTexts[f.Tag()]
	if !ok {
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, f.Param())
	}
	return text
}

// kebab returns the name in the document of a Go field.
func kebab(goName string) string {
	var b strings.Builder
	for i, c := range goName {
		if unicode.IsUpper(c) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

func countedUnit(kind reflect.Kind) string {
	if kind == reflect.String {
		return "characters"
	}
	return "entries"
}

// shown hides API keys, which would otherwise end up in logs.
func shown(field string, value any) any {
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
	return shown(field, fields[field])
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

func typeText(dst any, field string) string {
	t := reflect.TypeOf(dst).Elem()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == field {
			return kindText(t.Field(i).Type)
		}
	}
	return "another type"
}

func kindText(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each entry " + kindText(t.Elem())
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
