// Command pewterline is one log server: it takes requests from proxies and from web front ends, decides what
// runs when, has the work done by a worker pool and answers.
package main

import (
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/peers"
	"pewterline/internal/replication"
	"pewterline/internal/server"
	"pewterline/internal/store"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
	"pewterline/internal/vaultclient"
)

// spareSockets are the descriptors left beside the accepted connections: the listeners, the poller, the pool
// link and the standard streams, with room.
const spareSockets = 40

// vaultConns are the descriptors for links to the vault, also where only a later configuration has runs call it.
func vaultConns(cfg config.Config) int {
	if cfg.VaultAddress == "" {
		return 0
	}
	return vaultclient.MaxConns
}

func main() {
	os.Exit(command(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

func serve() error {
	if err := logAs(os.Getenv("RELAY_LOG"), os.Stderr); err != nil {
		return err
	}
	// Before all else: a signal that comes while the program starts waits for it. Guards against SIGHUP or SIGTERM killing
	// a server that reads its files, when many start at once. There is room for several, so that none is lost behind
	// another.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	clock := microtime.NewClock()
	ended := make(chan struct{})
	defer close(ended)
	leave, files := split(signals, clock, ended)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// The runtime keeps well under the machine's limit: what the limit counts, stacks, kernel pages of files and
	// the binary included, is more than the heap. Two threads, so that a timer fires while the loop waits.
	debug.SetMemoryLimit(cfg.MemoryLimit / 2)
	runtime.GOMAXPROCS(2)
	logf := newCapped().Logf
	wall := wallOf(clock)
	srv, err := server.New(cfg, wall, logf)
	if err != nil {
		return err
	}
	if cfg.Store.Driver != "" {
		st, err := store.Open(store.Config{
			Driver:  cfg.Store.Driver,
			DSN:     cfg.Store.DSN,
			Server:  cfg.Name,
			Timeout: cfg.Store.Timeout,
		})
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
	if cfg.Replication.ServerID != 0 {
		held, err := replication.Open(replication.Config{
			ID:                cfg.Replication.ServerID,
			Directory:         cfg.Replication.Directory,
			ReplicationFactor: cfg.Replication.ReplicationFactor,
			Consensus:         cfg.Replication.Consensus,
			Peers:             cfg.Replication.Peers,
			Retention:         srv.LongestRetention(),
			UnixMilli:         wall.UnixMilli,
			Logf:              logf,
		})
		if err != nil {
			return err
		}
		defer func() {
			if err := held.Close(); err != nil {
				log.Printf("copies: close: %v", err)
			}
		}()
		srv.UseReplication(held)
	}
	before, err := approach(os.TempDir(), cfg, patience, logf)
	if err != nil {
		return err
	}
	h := &host{cfg: cfg, logf: logf}
	srv.UseProcessHost(h)
	if before != nil {
		if err := srv.Inherit(before.told); err != nil {
			return err
		}
		h.before = before.path
	}
	opts := sockets.Options{Listen: []string{cfg.Listen, cfg.AJP.Listen, "", cfg.AdminAddress, "", cfg.Replication.Listen}, DatagramPeer: cfg.ControlAddress, Clock: clock, Options: transport.Options{
		// The limit on memory counts what the kernel holds of the sockets too; this leaves it as much again.
		MaxConns: cfg.SocketLimit - spareSockets, MaxBuffered: int(cfg.MemoryLimit / 8), Logf: logf,
		DedicatedLimits: map[int]int{server.AdminListener: server.MaxAdminConns, server.HandoffListener: server.MaxHandoffConns, server.ReplicationListener: peers.MaxConns},
	}}
	if cfg.AJP.BackendAddress != "" {
		opts.MaxConns -= cfg.AJP.BackendConnections
	}
	opts.MaxConns -= vaultConns(cfg)
	// Before this process listens for proxies: the next one finds it from then on.
	if wait := meetingPoint(os.TempDir(), cfg, logf); wait != nil {
		defer func() { _ = wait.Close() }() // the path goes with it
		h.wait = wait
	}
	h.conns, h.buffers = opts.MaxConns, opts.MaxBuffered
	// Guards whoever would connect now: of the time that the sender of the notice gives, little may be left.
	select {
	case <-leave:
		log.Printf("%s is told to leave before it serves", cfg.Name)
		return nil
	default:
	}
	loop, err := sockets.Start(opts, srv, func(l *transport.Loop) { srv.Attach(l) })
	if err != nil {
		return err
	}
	if err := h.use(loop); err != nil {
		return err
	}
	if before != nil {
		if err := loop.Adopt(before.conn, srv.AcceptPredecessor); err != nil {
			return err
		}
	}
	go obey(leave, files, ended, loop, srv)
	log.Printf("%s serves on %v", cfg.Name, loop.Addr(0))
	if err := loop.Wait(); err != nil {
		return err
	}
	return h.failed()
}
