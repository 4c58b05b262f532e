package waxforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxtable"
)

// markField is the header field of testProtocol that marks a close-delimited response.
const markField = "Mark"

// testProtocol has header fields of its own. Methods that the tests don't need are missing.
type testProtocol struct{ waxfleet.Protocol }

func (testProtocol) DecodeResponse(_ int, h http.Header) waxfleet.ResponseHead {
	return waxfleet.ResponseHead{ID: h.Get("Attempt"), Signed: h.Get("Seal") != "", CloseDelimited: h.Get(markField) != ""}
}

func (testProtocol) PeerHeader(waxfleet.RequestHead) http.Header { return http.Header{} }

func (testProtocol) CallerHeader(http.Header) http.Header { return http.Header{} }

func (testProtocol) MarkCloseDelimited(h http.Header) { h.Set(markField, "1") }

// testPeer is another instance that sends one response and ends its connection in order, as
// one does that gives a response up, or the kernel for a process that was killed.
type testPeer struct {
	listener net.Listener
	response string
}

func newTestPeer(t *testing.T, response string) *testPeer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &testPeer{listener: l, response: response}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.serve(conn)
		}
	}()
	return p
}

// serve sends the response, and answers everything else as an instance that lives.
func (p *testPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	_, _ = io.WriteString(conn, p.response)
}

// peerResponse returns a response that ends after some events of a stream.
func peerResponse(d *datadriven.TestData, t *testing.T) string {
	framing, events := "", 0
	d.ScanArgs(t, "framing", &framing)
	d.ScanArgs(t, "events", &events)
	head := "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: seal\r\n"
	if d.HasArg("marked") {
		head += markField + ": 1\r\n"
	}
	if framing == "chunks" {
		head += "Transfer-Encoding: chunked\r\n"
	}
	var body strings.Builder
	for i := range events {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
		if framing == "chunks" {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		body.WriteString(event)
	}
	if d.HasArg("last-chunk") {
		body.WriteString("0\r\n\r\n")
	}
	return head + "\r\n" + body.String()
}

// TestPeerResponseWithoutEnd guards against a response of another instance that counts as
// whole although that one gave it up or was killed: it, or the next process at its address,
// answers any probe.
func TestPeerResponseWithoutEnd(t *testing.T) {
	datadriven.RunTest(t, "testdata/peer-responses.txt", func(t *testing.T, d *datadriven.TestData) string {
		peer := newTestPeer(t, peerResponse(d, t))
		route := waxfleet.NewRoute(waxfleet.RouteSpec{Name: "stream", Host: "h", Prefix: "/", Kind: waxfleet.KindStream, Public: true})
		clock := waxfleet.NewClock()
		f := New(Options{
			Clock: clock, Protocol: testProtocol{}, Log: slog.New(slog.DiscardHandler),
			Servers: NewServers(clock, testProtocol{}, waxpool.NewBudget(1000), func() bool { return false }),
		})
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/a", nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req := &requestState{
			inbound: waxfleet.RequestHead{ID: "1"}, table: waxtable.New(waxtable.Spec{Routes: []waxfleet.Route{route}}), route: route,
			method: http.MethodPost, target: "/a", host: "h", peer: "router-2",
			deadline: clock.Now() + 10_000, response: newResponseWriter(w, r, testProtocol{}, clock),
		}
		req.response.fromPeer = d.HasArg("to-peer")
		res, err := f.sendToPeer(ctx, req, waxpeer.Peer{Name: req.peer, Address: peer.listener.Addr().String()})
		out := fmt.Sprintf("result: %s, after event %d\n", res, req.response.lastEventID)
		if (err == nil) != (res == resultComplete) {
			out += fmt.Sprintf("error: %v\n", err)
		}
		framing := "chunks"
		if w.Header().Get("Transfer-Encoding") == "identity" {
			framing = "close"
		}
		if w.Header().Get(markField) != "" {
			framing += ", marked"
		}
		return out + "to the caller: " + framing + "\n"
	})
}
