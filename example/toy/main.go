// Command toy provides what is needed to try the server by hand: a worker pool and a vault for it, and a client for
// each of the server's protocols. It stores nothing and is not part of the server.
package main

import (
	"errors"
	"flag"
	"log"
	"net"
	"time"
)

// readBufferSize is the size of a single read from a connection, in bytes.
const readBufferSize = 4096

// options are the command-line options.
type options struct {
	poolAddr       string
	vaultAddr      string
	callClass      string
	thriftAddr     string
	ajpAddr        string
	class          string
	idempotencyKey string
	work           time.Duration
}

func parseOptions() options {
	var opts options
	flag.StringVar(&opts.poolAddr, "listen", "", "serve as a worker pool on this address")
	flag.StringVar(&opts.vaultAddr, "vault", "", "with -listen: serve as the vault on this address as well")
	flag.StringVar(&opts.callClass, "calls", "lot-update",
		"the class whose runs call the vault; it has to call in the server's configuration too")
	flag.StringVar(&opts.thriftAddr, "send", "", "send one request by Thrift to this address")
	flag.StringVar(&opts.ajpAddr, "ajp", "", "send one request by AJP to this address")
	flag.StringVar(&opts.class, "class", "block-view", "the request's class")
	flag.StringVar(&opts.idempotencyKey, "once", "", "the request's idempotency key")
	flag.DurationVar(&opts.work, "work", 200*time.Millisecond, "how long the pool takes over a request")
	flag.Parse()
	return opts
}

var errNothingToDo = errors.New("one of -listen, -send and -ajp is needed")

func main() {
	if err := run(parseOptions()); err != nil {
		log.Fatal("toy: ", err)
	}
}

func run(opts options) error {
	switch {
	case opts.poolAddr != "":
		return serve(opts.poolAddr, opts.vaultAddr, workerPool{work: opts.work, callClass: opts.callClass})
	case opts.thriftAddr != "":
		return sendThrift(opts.thriftAddr, opts.class, opts.idempotencyKey)
	case opts.ajpAddr != "":
		return sendAJP(opts.ajpAddr, opts.class, opts.idempotencyKey)
	default:
		return errNothingToDo
	}
}

// serve serves as a worker pool and, if vaultAddr is not empty, as a vault, until either fails. The goroutines of both
// end with the process.
func serve(poolAddr, vaultAddr string, pool workerPool) error {
	failed := make(chan error, 2)
	go func() { failed <- accept("worker pool", poolAddr, pool.serve) }()
	if vaultAddr != "" {
		go func() { failed <- accept("vault", vaultAddr, serveVault) }()
	}
	return <-failed
}

// accept accepts connections at an address and serves each on a goroutine, which ends with the connection.
func accept(name, addr string, serve func(net.Conn)) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Printf("%s on %v", name, listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serve(conn)
	}
}

// readMessages reads from a connection until it ends or parse fails. parse handles the first message in received and
// returns its size, or 0 while the message is incomplete.
func readMessages(conn net.Conn, parse func(received []byte) (size int, err error)) error {
	var received []byte
	buffer := make([]byte, readBufferSize)
	for {
		size, err := parse(received)
		if err != nil {
			return err
		}
		if size > 0 {
			received = received[size:]
			continue
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return err
		}
		received = append(received, buffer[:n]...)
	}
}
