// Command toy is a worker pool and a vault to try the server with, and a client for either of its protocols.
package main

import (
	"errors"
	"flag"
	"log"
	"net"
	"time"
)

func main() {
	listen := flag.String("listen", "", "serve as a worker pool on this address")
	vaultAddr := flag.String("vault", "", "with -listen: serve as the vault on this address as well")
	calls := flag.String("calls", "lot-update", "the class whose runs call the vault; it has to call in the server's configuration too")
	send := flag.String("send", "", "send one request by Thrift to this address")
	office := flag.String("ajp", "", "send one request by AJP to this address")
	class := flag.String("class", "block-view", "the request's class")
	once := flag.String("once", "", "the request's once-key")
	work := flag.Duration("work", 200*time.Millisecond, "how long the pool takes over a request")
	flag.Parse()
	var err error
	switch {
	case *listen != "":
		err = serve(*listen, *vaultAddr, workers{work: *work, calls: *calls})
	case *send != "":
		err = sendThrift(*send, *class, *once)
	case *office != "":
		err = sendAJP(*office, *class, *once)
	default:
		err = errors.New("one of -listen, -send and -ajp is needed")
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

// serve is a worker pool and, where it has an address, a vault, until either fails.
func serve(poolAddr, vaultAddr string, pool workers) error {
	failed := make(chan error, 2)
	go func() { failed <- accept("worker pool", poolAddr, pool.serveLink) }()
	if vaultAddr != "" {
		go func() { failed <- accept("vault", vaultAddr, serveVault) }()
	}
	return <-failed
}

// accept serves each connection to an address.
func accept(what, addr string, serve func(net.Conn)) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Printf("%s on %v", what, ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go serve(conn)
	}
}

// readMessages hands what comes on a connection to parse until it ends. parse takes a message off, and returns 0 while there is no
// whole one.
func readMessages(conn net.Conn, parse func(in []byte) (n int, err error)) error {
	var in []byte
	more := make([]byte, 4096)
	for {
		n, err := parse(in)
		if err != nil {
			return err
		}
		if n > 0 {
			in = in[n:]
			continue
		}
		got, err := conn.Read(more)
		if err != nil {
			return err
		}
		in = append(in, more[:got]...)
	}
}
