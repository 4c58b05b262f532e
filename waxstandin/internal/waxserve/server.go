package waxserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// readHeaderTimeout bounds the time for reading request headers.
const readHeaderTimeout = 30 * time.Second

// Server serves HTTP on one address, which it keeps reserved while it is down. It stops
// when the context of New ends.
type Server struct {
	http    *http.Server
	network string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*Conn]struct{}
	closed   bool
}

// New starts a server that listens on address ("ip:port"; port 0 selects a free
// port).
func New(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	reservation, network, bound, err := reserveAddress(address)
	if err != nil {
		return nil, err
	}
	s := &Server{network: network, address: bound, conns: map[*Conn]struct{}{}}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	if err := s.Up(); err != nil {
		_ = unix.Close(reservation)
		return nil, err
	}
	go func() {
		<-ctx.Done()
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		s.Down()
		_ = unix.Close(reservation)
	}()
	return s, nil
}

// Address returns the listen address as "ip:port".
func (s *Server) Address() string { return s.address }

// Up starts listening again after Down. It does nothing if the server listens or has
// stopped.
func (s *Server) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	l, err := net.Listen(s.network, s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.address)
	}
	s.listener = l
	go func() { _ = s.http.Serve(&listener{Listener: l, server: s}) }()
	return nil
}

// Down resets all connections and refuses new ones until Up.
func (s *Server) Down() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	s.ResetConnections()
}

// ResetConnections resets the open connections. New ones are accepted.
func (s *Server) ResetConnections() {
	for _, c := range s.openConns() {
		c.reset()
	}
}

// Silence makes the open connections go silent permanently: those with an event
// stream once it has sent this number of events, others at once. New connections are
// not affected.
func (s *Server) Silence(events int) {
	for _, c := range s.openConns() {
		c.silenceAfter(events)
	}
}

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// track adds an accepted connection. It returns false if the server has closed l, the
// listener that accepted it.
func (s *Server) track(l net.Listener, conn net.Conn) (*Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Conn{Conn: conn, server: s}
	if s.listener != l {
		return c, false
	}
	s.conns[c] = struct{}{}
	return c, true
}

func (s *Server) untrack(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// listener wraps accepted connections in Conn.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. It resets connections that arrived while the
// server was going down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := l.server.track(l.Listener, conn)
		if ok {
			return c, nil
		}
		c.reset()
	}
}

// reserveAddress binds a socket that never listens. While the server is down, the
// kernel doesn't assign the port to others and resets connection attempts.
func reserveAddress(address string) (fd int, network, bound string, err error) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return 0, "", "", errors.Wrapf(err, "resolve address %q", address)
	}
	family, network, sa := sockaddr(a)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", "", errors.Wrap(err, "socket")
	}
	port, err := bindReuseAddr(fd, sa)
	if err != nil {
		_ = unix.Close(fd)
		return 0, "", "", errors.Wrapf(err, "bind %s", address)
	}
	return fd, network, (&net.TCPAddr{IP: a.IP, Port: port, Zone: a.Zone}).String(), nil
}

func sockaddr(a *net.TCPAddr) (family int, network string, sa unix.Sockaddr) {
	if ip := a.IP.To4(); ip != nil || len(a.IP) == 0 {
		v4 := &unix.SockaddrInet4{Port: a.Port}
		copy(v4.Addr[:], ip)
		return unix.AF_INET, "tcp4", v4
	}
	v6 := &unix.SockaddrInet6{Port: a.Port}
	copy(v6.Addr[:], a.IP.To16())
	return unix.AF_INET6, "tcp6", v6
}

func bindReuseAddr(fd int, sa unix.Sockaddr) (port int, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := unix.Bind(fd, sa); err != nil {
		return 0, err
	}
	got, err := unix.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	switch v := got.(type) {
	case *unix.SockaddrInet4:
		return v.Port, nil
	case *unix.SockaddrInet6:
		return v.Port, nil
	}
	return 0, errors.Newf("unexpected socket address %T", got)
}
