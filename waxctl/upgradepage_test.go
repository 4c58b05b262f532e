package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	waxadapter "waxwingdrift.org/platform"
	"waxwingdrift.org/platform/waxstub"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// pageCommand matches a command of waxctl on a line of its own.
var pageCommand = regexp.MustCompile(`(?m)^ *waxctl (.*)$`)

// TestUpgradePage guards against a page for operators whose commands don't work. It runs them
// on a fleet of which one instance is of a version that doesn't tell its build.
func TestUpgradePage(t *testing.T) {
	is := is.New(t)
	store, err := waxstub.NewStore(waxstub.AnyAddress)
	is.NoErr(err)
	defer store.Close()
	for name, reply := range map[string]*waxwire.StateReply{
		"old": {Instance: "old", Ready: true, Reason: "serving", ConfigVersion: 7, ProofAgeMs: 120},
		"new": {Instance: "new", Ready: true, Reason: "serving", ConfigVersion: 7, ProofAgeMs: 80, Build: "0123456789ab"},
	} {
		mux := http.NewServeMux()
		mux.Handle(waxwireconnect.NewInspectionHandler(fixedState{reply: reply}))
		server := httptest.NewServer(mux)
		defer server.Close()
		is.NoErr(waxadapter.NewStore(store.Address()).Peers().Register(context.Background(), name, waxfleet.PeerEntry{
			Address: strings.TrimPrefix(server.URL, "http://"),
		}))
	}
	log := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(log, []byte(`{"time":"2026-12-05T10:00:00Z","level":"INFO","msg":"placed","instance":"new","request":"r1","server":"e1"}`+"\n"), 0o600))
	page, err := os.ReadFile("../docs/operators/upgrade.md")
	is.NoErr(err)
	commands := pageCommand.FindAllStringSubmatch(string(page), -1)
	is.True(len(commands) >= 3)
	for _, c := range commands {
		args := strings.Fields(strings.NewReplacer("STORE", store.Address(), "REQUEST", "r1", "LOG", log).Replace(c[1]))
		var out, errOut bytes.Buffer
		code := run(context.Background(), args, strings.NewReader(""), &out, &errOut)
		is.Equal(code, 0) // the command works
		is.Equal(errOut.String(), "")
		if strings.HasPrefix(c[1], "inspect instances") {
			is.True(strings.Contains(out.String(), "0123456789ab"))
		}
	}
}
