package waxintake

import (
	"net"
	"time"

	"waxwingdrift.org/waxfleet"
)

// Listener returns a listener whose connections count against the accounts. Its http.Server
// needs the ConnContext of waxconn and the ConnState hook Track.
func (in *Intake) Listener(l net.Listener) net.Listener { return &listener{Listener: l, intake: in} }

type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if c := l.intake.open(tcp); c != nil {
			return c, nil
		}
		l.intake.turnAway(tcp)
	}
}

// turnAway refuses a new connection: it responds to the first byte of its request. While too
// many connections linger, it closes the connection at once.
func (in *Intake) turnAway(tcp *net.TCPConn) {
	if !in.takeLingering() {
		_ = tcp.Close()
		return
	}
	go func() {
		defer in.giveLingering()
		defer func() { _ = tcp.Close() }()
		if tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
			return
		}
		var first [1]byte
		if n, err := tcp.Read(first[:]); n == 0 || err != nil {
			return
		}
		writeRefusal(tcp, waxfleet.NewError(waxfleet.CodeRouterFull, "each connection is in use"))
		linger(tcp)
	}()
}
