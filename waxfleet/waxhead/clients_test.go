package waxhead_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// lenientReaders match code that reads responses without this package.
var lenientReaders = regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|ReadResponse\(|Get\(|Post\(|Head\(|Client\{\})|[^(]&http\.Transport\{|new\(http\.(Client|Transport)\)`)

// TestClientsReadStrictly guards against a client of the product that reads responses with
// net/http alone.
func TestClientsReadStrictly(t *testing.T) {
	files := 0
	for _, module := range []string{"waxfleet", "platform", "waxctl", "waxrouter"} {
		err := filepath.WalkDir(filepath.Join("..", "..", module), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			switch {
			case d.IsDir() && (d.Name() == "waxhead" || d.Name() == "waxstub" || d.Name() == "standin"):
				return fs.SkipDir // this package, and fakes of the platform
			case d.IsDir(), !strings.HasSuffix(path, ".go"), strings.HasSuffix(path, "_test.go"):
				return nil
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			files++
			for line := range strings.Lines(string(raw)) {
				if code, _, _ := strings.Cut(line, "//"); lenientReaders.MatchString(code) {
					t.Errorf("%s: %s", path, strings.TrimSpace(line))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 100 {
		t.Fatalf("only %d files were found", files)
	}
}
