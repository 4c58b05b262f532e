package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxobject/waxmemory"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// testPeer serves Status and Explain with fixed replies.
type testPeer struct {
	waxwireconnect.UnimplementedPeerHandler
	status  *waxwire.StatusReply
	explain *waxwire.ExplainReply
}

func (p testPeer) Status(context.Context, *connect.Request[waxwire.StatusRequest]) (*connect.Response[waxwire.StatusReply], error) {
	return connect.NewResponse(p.status), nil
}

func (p testPeer) Explain(_ context.Context, req *connect.Request[waxwire.ExplainRequest]) (*connect.Response[waxwire.ExplainReply], error) {
	if req.Msg.GetRequestId() != "r1" {
		return connect.NewResponse(&waxwire.ExplainReply{}), nil
	}
	return connect.NewResponse(p.explain), nil
}

// startPeer serves a peer over unencrypted HTTP/2, as routers do, and returns its
// address.
func startPeer(t *testing.T, p testPeer) string {
	mux := http.NewServeMux()
	mux.Handle(waxwireconnect.NewPeerHandler(p))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startPlatform serves the Object API and the instance list from a store, and returns
// the base URL.
func startPlatform(t *testing.T, store *waxmemory.Store) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		obj, err := store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
		writeResponse(w, obj.Value(), obj.Version(), err)
	})
	mux.HandleFunc("PUT /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		var version uint64
		if r.Header.Get("If-None-Match") != "*" {
			_, _ = fmt.Sscanf(r.Header.Get("If-Match"), `"%d"`, &version)
		}
		value, _ := io.ReadAll(r.Body)
		obj, err := store.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), value, version)
		writeResponse(w, nil, obj.Version(), err)
	})
	mux.HandleFunc("DELETE /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		var version uint64
		_, _ = fmt.Sscanf(r.Header.Get("If-Match"), `"%d"`, &version)
		writeResponse(w, nil, 0, store.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version))
	})
	mux.HandleFunc("GET /objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		objects, err := store.List(r.Context(), r.PathValue("kind"))
		list := objectList{Objects: []listedObject{}}
		for _, o := range objects {
			list.Objects = append(list.Objects, listedObject{Name: o.Name(), Version: o.Version(), Value: o.Value()})
		}
		body, _ := json.Marshal(list)
		writeResponse(w, body, 0, err)
	})
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		routers, servers, err := store.ListInstances(r.Context())
		list := map[string][]map[string]string{}
		for _, i := range routers {
			list["routers"] = append(list["routers"], map[string]string{
				"id":             i.ID(),
				"failure-domain": i.FailureDomain(),
				"peer-address":   i.PeerAddress(),
				"state":          string(i.State()),
			})
		}
		for _, b := range servers {
			list["backend-servers"] = append(list["backend-servers"], map[string]string{
				"id":             b.ID(),
				"service":        b.Service(),
				"failure-domain": b.FailureDomain(),
				"address":        b.Address(),
				"state":          string(b.State()),
			})
		}
		body, _ := json.Marshal(list)
		writeResponse(w, body, 1, err)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

type objectList struct {
	Objects []listedObject `json:"objects"`
}

type listedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func writeResponse(w http.ResponseWriter, body []byte, version uint64, err error) {
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeOK:
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprint(version)))
		_, _ = w.Write(body)
	case waxfleet.CodeObjectConflict:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.WriteHeader(waxfleet.CodeOf(err).Status())
	}
}

// TestCommands guards against commands that change the wrong section, hide one side
// of a conflict, or exit with another code than documented.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		store := waxmemory.NewStore(waxfleet.NewClock())
		url := startPlatform(t, store)
		peerA := startPeer(t, testPeer{status: &waxwire.StatusReply{
			Mode: "normal", Epoch: 4, ConfigVersion: 9,
			BackendServers: []*waxwire.BackendState{
				{Id: "e1", Service: "geiriau", InFlight: 3, Window: 8, Limit: 5, Warm: true},
				{Id: "e2", InFlight: 1, Residual: true},
				{Id: "e9", Gone: true},
			},
		}, explain: &waxwire.ExplainReply{Decisions: []*waxwire.Decision{
			{AtMs: 10, Instance: "r-a", Step: "entry", Detail: "tier patient"},
			{AtMs: 30, Step: "done"},
		}}})
		peerB := startPeer(t, testPeer{status: &waxwire.StatusReply{
			Mode: "detached", Epoch: 3, ConfigVersion: 8,
			BackendServers: []*waxwire.BackendState{{Id: "e2", InFlight: 2, Window: 2, Limit: 4, Queued: 7}},
		}, explain: &waxwire.ExplainReply{Decisions: []*waxwire.Decision{{AtMs: 20, Step: "admit", Detail: "first-choice"}}}})
		store.SetInstances([]waxfleet.Instance{
			waxfleet.NewInstance("r-b", "abertawe", peerB, waxfleet.StateLive),
			waxfleet.NewInstance("r-a", "caerdydd", peerA, waxfleet.StateLive),
			waxfleet.NewInstance("r-c", "abertawe", "127.0.0.1:1", waxfleet.StateLeaving),
		}, []waxfleet.BackendServer{
			waxfleet.NewBackendServer("e1", "geiriau", "caerdydd", "127.0.0.1:21", waxfleet.StateLive),
			waxfleet.NewBackendServer("e2", "geiriau", "abertawe", "127.0.0.1:22", waxfleet.StateLive),
			waxfleet.NewBackendServer("e3", "geiriau", "abertawe", "127.0.0.1:23", waxfleet.StateLive),
		})
		dir := t.TempDir()
		placeholders := strings.NewReplacer(peerA, "PEER-A", peerB, "PEER-B", url, "PLATFORM", dir, "DIR")
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "edits":
				return repeatEdits(t, url, dir, d)
			case "stored":
				objects, err := store.List(t.Context(), d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				return fmt.Sprintf("%d objects\n", len(objects))
			case "outage":
				store.SetOutage(d.CmdArgs[0].Key == "on")
				return ""
			case "waxctl":
				t.Setenv("WAX_PLATFORM", url)
				args := strings.Fields(strings.ReplaceAll(d.Input, "DIR", dir))
				var out, errOut bytes.Buffer
				code := run(context.Background(), args, strings.NewReader("{}"), &out, &errOut)
				text := out.String()
				if errOut.Len() > 0 {
					text += "stderr:\n" + errOut.String()
				}
				return normalizeOutput(placeholders.Replace(text)) + fmt.Sprintf("exit %d\n", code)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// repeatEdits edits section limits count times, each time with a different value.
func repeatEdits(t *testing.T, url, dir string, d *datadriven.TestData) string {
	var count int
	d.ScanArgs(t, "count", &count)
	name := filepath.Join(dir, "edit")
	for i := range count {
		if err := os.WriteFile(name, fmt.Appendf(nil, `{"queue-length": %d}`, i+1), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errOut bytes.Buffer
		args := []string{"--platform", url, "edit", "limits", "--file", name}
		if code := run(t.Context(), args, strings.NewReader(""), &out, &errOut); code != 0 {
			t.Fatalf("edit %d: exit code %d: %s", i, code, errOut.String())
		}
	}
	return ""
}

var columnPadding = regexp.MustCompile(`(\S) {2,}`)

// normalizeOutput removes what differs between runs and machines: column padding, which
// depends on the number of digits of a port, and the cause why a router did not
// respond, whose text depends on the operating system. It also removes trailing space.
func normalizeOutput(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		line, _, _ = strings.Cut(line, "did not respond:")
		lines[i] = strings.TrimRight(columnPadding.ReplaceAllString(line, "$1  "), " ")
	}
	return strings.Join(lines, "\n")
}
