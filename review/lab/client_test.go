package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id, method, path, body string
	deadline               time.Duration
	header                 []string
}

// outcome is what the client saw.
type outcome struct {
	status int
	sealed bool
	// framing is "length", "chunks", or "none" for an answer that ends with its connection.
	framing string
	body    string
	events  int
	// end says how the answer ended: "complete" as far as the protocol tells (for framing
	// "none": the connection was closed in order), else what broke.
	end string
}

func (o outcome) String() string {
	return fmt.Sprintf("status %d sealed %v framing %s events %d bytes %d end %s", o.status, o.sealed, o.framing, o.events, len(o.body), o.end)
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// send makes one attempt on a new connection.
func send(address string, a attempt) outcome {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return outcome{end: "not connected: " + reason(err)}
	}
	defer conn.Close()
	return sendOn(conn, bufio.NewReader(conn), a)
}

// sendOn makes one attempt on an open connection.
func sendOn(conn net.Conn, reader *bufio.Reader, a attempt) outcome {
	_ = conn.SetDeadline(time.Now().Add(a.deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		a.method, a.path, a.id, a.deadline.Milliseconds(), apiKey)
	for _, h := range a.header {
		b.WriteString(h + "\r\n")
	}
	if a.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return outcome{end: "not sent: " + reason(err)}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: a.method})
	if err != nil {
		return outcome{end: "no answer: " + reason(err)}
	}
	o := outcome{status: resp.StatusCode, sealed: resp.Header.Get("X-Response-Seal") != "", framing: "none", end: "complete"}
	switch {
	case len(resp.TransferEncoding) > 0:
		o.framing = "chunks"
	case resp.ContentLength >= 0:
		o.framing = "length"
	}
	raw, err := io.ReadAll(resp.Body)
	o.body = string(raw)
	o.events = strings.Count(o.body, "\n\n")
	if err != nil {
		o.end = reason(err)
	}
	return o
}

func reason(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "ended early"
	case errors.Is(err, io.EOF):
		return "closed"
	}
	return err.Error()
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }
