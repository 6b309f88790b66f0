package main

import (
	"io"
	"net"
	"sync"
)

// relay forwards connections to a target. It can reset all of them at once.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// newRelay starts a relay on a free loopback address. It ends with this program.
func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn) // ends with the connection
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = client.Close() // nothing was forwarded
		return
	}
	r.track(client, server)
	go r.forward(server, client) // ends with either connection
	r.forward(client, server)
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.open[conn] = struct{}{}
	}
}

// forward copies one direction until it ends, and then closes both connections.
func (r *relay) forward(from, to net.Conn) {
	_, _ = io.Copy(to, from) // any error ends both connections
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range []net.Conn{from, to} {
		_ = conn.Close() // it may be closed already
		delete(r.open, conn)
	}
}

// resetAll resets all open connections.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the connection is closed rather than reset
		}
		_ = conn.Close() // it may be closed already
	}
}
