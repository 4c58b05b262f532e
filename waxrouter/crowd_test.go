package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// maxDescriptors is the kernel's limit of the router's descriptors.
	maxDescriptors = 300
	// idleConnections is the number of connections that callers leave open.
	idleConnections = 400
	// idleTimeout bounds the response to the request on each of them.
	idleTimeout = 5 * time.Second
	// attemptTimeout bounds one attempt of an ordinary chat, and chatTimeout all of them.
	attemptTimeout = 10 * time.Second
	chatTimeout    = 30 * time.Second
)

// limitedRouter starts waxrouter with maxDescriptors.
const limitedRouter = `#!/bin/sh
ulimit -n %d && exec "$(dirname "$0")/waxrouter" "$@"
`

// TestIdleConnections guards against a router that serves nobody else once callers keep
// more connections than it can open idle after a complete request.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, buildPrograms(t))
	f.startAll()
	is.NoErr(os.WriteFile(filepath.Join(f.bin, "limited"), fmt.Appendf(nil, limitedRouter, maxDescriptors), 0o755))
	const name = "router-4"
	p := f.start(name, "limited", "serve",
		"--instance-id", name,
		"--failure-domain", "caerdydd",
		"--caller-address", "127.0.0.1:0",
		"--peer-address", "127.0.0.1:0",
		"--platform-address", f.addresses["platform"])
	f.addresses[name] = f.waitForLogField(p, "caller-address")
	f.put("platform", "/admin/instances/"+name, fmt.Sprintf(`{"failure-domain": "caerdydd", "peer-address": %q, "caller-address": %q}`,
		f.waitForLogField(p, "peer-address"), f.addresses[name]))
	f.waitFor(name+" ready", func() bool { return f.status(name, "/readyz") == http.StatusOK })
	is.Equal(f.chatOnNewConnection(name), "complete") // before the crowd
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range idleConnections {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp4", f.addresses[name], idleTimeout)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if getHealth(conn) == nil {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d idle connections got a response", answered.Load(), idleConnections)
	result := f.chatOnNewConnection(name)
	select {
	case <-p.exited:
		t.Error("the router has exited")
	default:
	}
	is.Equal(result, "complete") // after the crowd
}

// getHealth requests /healthz and leaves the connection open.
func getHealth(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: router\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// chatOnNewConnection sends an ordinary chat until it is served or chatTimeout has passed,
// each time on a new connection. It returns the last result.
func (f *fleet) chatOnNewConnection(router string) string {
	f.t.Helper()
	result := ""
	for n, deadline := 0, time.Now().Add(chatTimeout); result != "complete" && time.Now().Before(deadline); n++ {
		result = chatOnce(f.addresses[router], fmt.Sprintf("ordinary-%d", n))
		time.Sleep(pollInterval)
	}
	return result
}

// chatOnce is sendChat on a connection of its own and with a timeout.
func chatOnce(address, chat string) string {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	req, body, err := newChatRequest(address, "", chat, 20)
	if err != nil {
		return err.Error()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	result := (&chatStream{resp: resp, body: body, reader: bufio.NewReader(resp.Body)}).verify("")
	if strings.HasSuffix(result, ", complete") {
		return "complete"
	}
	return result
}
