package waxfleet_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

const errorsPage = "../docs/errors.md"

var rewriteErrors = flag.Bool("rewrite-errors", false, "regenerate the code columns of docs/errors.md")

// codeRow is a row of the table of result codes. facts holds the generated columns;
// meaning and advice are written by hand.
type codeRow struct {
	facts   string
	meaning string
	advice  string
}

func (r codeRow) String() string { return fmt.Sprintf("%s %s | %s |", r.facts, r.meaning, r.advice) }

func facts(c waxfleet.Code) string {
	notRun := "no"
	if c.NotRun() {
		notRun = "yes"
	}
	return fmt.Sprintf("| %d | %s | %d | %s |", int(c), c.Name(), c.Status(), notRun)
}

// TestErrorsPage fails when the page lacks a result code, gives it another status
// or not-run flag, or does not explain it.
func TestErrorsPage(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(errorsPage)
	is.NoErr(err)
	const header = "| number | name | HTTP status | not run | meaning | what to do |\n|---|---|---|---|---|---|\n"
	before, table, found := strings.Cut(string(raw), header)
	is.True(found) // the page contains the table

	texts := map[string]codeRow{}
	for _, line := range strings.Split(strings.TrimSpace(table), "\n") {
		cells := strings.Split(line, " | ")
		is.Equal(len(cells), 6) // a row has six cells
		texts[cells[1]] = codeRow{meaning: cells[4], advice: strings.TrimSuffix(cells[5], " |")}
	}
	codes := waxfleet.Codes()
	slices.SortFunc(codes, cmp.Compare[waxfleet.Code])
	want := before + header
	for _, c := range codes {
		r := texts[c.Name()]
		r.facts = facts(c)
		if strings.TrimSpace(r.meaning) == "" || strings.TrimSpace(r.advice) == "" {
			t.Errorf("code %d %s: no meaning or no advice", int(c), c.Name())
		}
		want += r.String() + "\n"
	}
	if *rewriteErrors {
		is.NoErr(os.WriteFile(errorsPage, []byte(want), 0o644))
		return
	}
	got, lines := strings.Split(string(raw), "\n"), strings.Split(want, "\n")
	is.Equal(len(got), len(lines)) // a row per code
	for i := range got {
		is.Equal(got[i], lines[i])
	}
}
