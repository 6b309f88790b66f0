// Command pewterline is one log server: it takes requests from proxies and from web front ends, decides what
// runs when, has the work done by a worker pool and answers.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pewterline/internal/config"
	"pewterline/internal/edge"
	"pewterline/internal/micro"
	"pewterline/internal/store"
	"pewterline/internal/transport"
)

// spareSockets are the descriptors left beside the accepted connections: the listeners, the poller, the pool
// link and the standard streams, with room.
const spareSockets = 64

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pewterline:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// The runtime keeps well under the machine's limit: what the limit counts, stacks, kernel pages of files and
	// the binary included, is more than the heap. Two threads, so that a timer fires while the loop waits.
	debug.SetMemoryLimit(cfg.Memory / 2)
	runtime.GOMAXPROCS(2)
	clock := micro.NewClock()
	srv, err := edge.New(cfg, clock, log.Printf)
	if err != nil {
		return err
	}
	if cfg.Store.Driver != "" {
		st, err := store.Open(cfg.Store.Driver, cfg.Store.DSN, cfg.Name, cfg.Store.Timeout)
		if err != nil {
			return err
		}
		defer func() {
			if err := st.Close(); err != nil {
				log.Printf("store: close: %v", err)
			}
		}()
		if err := srv.UseStore(st, clock.Now()); err != nil {
			return err
		}
	}
	opts := transport.Options{
		Listen: []string{cfg.Listen}, Datagrams: cfg.Control, MaxConns: cfg.Sockets - spareSockets - cfg.AJP.Connections, Clock: clock, Logf: log.Printf,
	}
	if cfg.AJP.Listen != "" {
		opts.Listen = append(opts.Listen, cfg.AJP.Listen)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	loop, err := transport.Start(opts, srv, func(l *transport.Loop) { srv.Attach(l) })
	if err != nil {
		return err
	}
	go func() {
		<-signals
		if err := loop.Execute(func() { srv.Drain(loop.Now()) }); err != nil {
			log.Printf("drain: %v", err)
		}
	}()
	log.Printf("%s serves on %v", cfg.Name, loop.Addr(0))
	return loop.Wait()
}
