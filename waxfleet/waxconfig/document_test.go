package waxconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestDocument checks that invalid documents are rejected, and that the errors name
// the section, the path, the value and the allowed values.
func TestDocument(t *testing.T) {
	datadriven.Walk(t, "testdata/document", func(t *testing.T, path string) {
		var doc *Document
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				next, err := ParseDocument(7, []byte(d.Input))
				if err != nil {
					return describe(err)
				}
				doc = next
				return "ok\n"
			case "tiers":
				var b strings.Builder
				for _, tier := range doc.Tiers() {
					fmt.Fprintf(&b, "%s price=%v priority=%d patience=%d deadline=%d\n",
						tier.Name(), tier.PriceMultiple(), tier.Priority(), tier.Patience(), tier.Deadline())
				}
				return b.String()
			case "limits":
				return fmt.Sprintf("%+v\n", doc.Limits())
			case "key":
				w, ok := doc.WorkspaceByKey(strings.TrimSpace(d.Input))
				return fmt.Sprintf("%s %v\n", w.Name(), ok)
			case "model":
				s, ok := doc.ServiceForModel(strings.TrimSpace(d.Input))
				return fmt.Sprintf("%s %v\n", s.Name(), ok)
			case "once":
				var service, at string
				d.ScanArgs(t, "service", &service)
				d.ScanArgs(t, "path", &at)
				s, _ := doc.Service(service)
				return fmt.Sprintf("%v\n", s.AtMostOnce(at))
			case "domain":
				return fmt.Sprintf("in=%v\n", doc.DomainInService(strings.TrimSpace(d.Input)))
			case "allowed":
				var workspace, model, server, service, domain string
				d.ScanArgs(t, "workspace", &workspace)
				d.MaybeScanArgs(t, "model", &model)
				d.ScanArgs(t, "server", &server)
				d.ScanArgs(t, "service", &service)
				d.ScanArgs(t, "domain", &domain)
				b := waxfleet.NewBackendServer(server, service, domain, "127.0.0.1:1", waxfleet.StateLive)
				return fmt.Sprintf("%v\n", doc.Allowed(workspace, model, b))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func describe(err error) string {
	var coded *waxfleet.Error
	if !errors.As(err, &coded) {
		return fmt.Sprintf("error without a code: %v\n", err)
	}
	return fmt.Sprintf("%d %s\n", coded.Code(), coded.Message())
}

// TestDigestIgnoresLayout checks that digests do not depend on white space, the
// order of names or the notation of numbers. Otherwise patches would not lead to the
// digest in the head.
func TestDigestIgnoresLayout(t *testing.T) {
	is := is.New(t)
	a, err := Canonical([]byte(`{"b": 1.0, "a": {"d": 1e2, "c": "<"}}`))
	is.NoErr(err)
	b, err := Canonical([]byte(`{"a":{"c":"<","d":100},"b":1}`))
	is.NoErr(err)
	is.Equal(string(a), string(b))
	is.Equal(string(a), `{"a":{"c":"<","d":100},"b":1}`)
}

// FuzzParseDocument checks that parsing does not panic, and that the canonical form
// of a valid document is valid and unchanged by another pass. Otherwise peers would
// reject the copy.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, err := ParseDocument(1, raw)
		if err != nil {
			if code := waxfleet.CodeOf(err); code != waxfleet.CodeConfigInvalid && code != waxfleet.CodeConfigTooLarge {
				t.Fatalf("code %d: %v", code, err)
			}
			return
		}
		again, err := NewDocument(1, doc.raw)
		if err != nil {
			t.Fatalf("canonical form rejected: %v", err)
		}
		for _, name := range Sections() {
			if string(again.raw[name]) != string(doc.raw[name]) {
				t.Fatalf("section %s changed: %s", name, doc.raw[name])
			}
		}
	})
}
