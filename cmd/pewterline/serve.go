package main

import (
	"io"
	"os"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"

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

const (
	// reservedSockets is the number of descriptors reserved for uses other than accepted connections: the listeners, the
	// poller, the worker pool's connection, the standard streams, and a margin.
	reservedSockets = 40
	// threads is the value of GOMAXPROCS: with two, a timer fires in time while the loop blocks in the poller.
	threads = 2
	// heapLimitDivisor is the ratio of the memory limit to the heap limit. The rest is for stacks, the binary and the
	// kernel's page cache, which also count against the memory limit.
	heapLimitDivisor = 2
	// bufferLimitDivisor is the ratio of the memory limit to the limit on bytes buffered for connections. The kernel's
	// socket buffers take the same amount again.
	bufferLimitDivisor = 8
)

type serveCommand struct{}

// Run serves until a signal ends the process.
func (serveCommand) Run(env *environment) error { return serve(env.getenv, env.errs) }

// serve runs one server until SIGTERM, or until it fails.
func serve(getenv func(string) string, errs io.Writer) error {
	logs, err := newLogs(getenv("RELAY_LOG"), errs)
	if err != nil {
		return err
	}
	clock := microtime.NewClock()
	// This must come first, so that a signal during startup is handled afterwards instead of killing the process.
	signals := watchSignals(clock, logs.logger)
	defer signals.stop()
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.MemoryLimit / heapLimitDivisor)
	runtime.GOMAXPROCS(threads)
	proc := &process{cfg: cfg, clock: clock, logs: logs}
	defer proc.close()
	if err := proc.prepare(); err != nil {
		return err
	}
	// Do not start listening if a shutdown was requested during startup: little of the shutdown budget may be left.
	if signals.shutdownRequested() {
		logs.logger.Info("told to stop before serving", zap.String("server", cfg.Name))
		return nil
	}
	loop, err := proc.start()
	if err != nil {
		return err
	}
	signals.handle(signalTarget{loop: loop, server: proc.server, getenv: getenv})
	logs.logger.Info("serving", zap.String("server", cfg.Name), zap.Stringer("address", loop.Addr(0)))
	if err := loop.Wait(); err != nil {
		return err
	}
	return proc.host.err()
}

// process is the server with the operating system resources that it uses.
type process struct {
	cfg         config.Config
	clock       microtime.Clock
	logs        *logs
	server      *server.Server
	host        *processHost
	predecessor *predecessor // nil: there is none
	closers     []func()     // called in reverse order
}

// close closes what the process has opened.
func (p *process) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// closeLater registers a resource to be closed when the process ends. An error of Close is logged.
func (p *process) closeLater(name string, closer io.Closer) {
	p.closers = append(p.closers, func() {
		if err := closer.Close(); err != nil {
			p.logs.logger.Warn("close failed", zap.String("what", name), zap.Error(err))
		}
	})
}

// prepare creates the server and receives the state of a predecessor, all before the listeners open.
func (p *process) prepare() error {
	wall := wallClock(p.clock)
	var err error
	if p.server, err = server.New(p.cfg, wall, p.logs.Logf); err != nil {
		return err
	}
	if err := p.openStore(); err != nil {
		return err
	}
	if err := p.openReplication(wall); err != nil {
		return err
	}
	search := predecessorSearch{dir: os.TempDir(), cfg: p.cfg, timeout: predecessorTimeout, logger: p.logs.limited}
	if p.predecessor, err = search.run(); err != nil {
		return err
	}
	p.host = newProcessHost(p.cfg, p.logs.limited)
	p.server.UseProcessHost(p.host)
	if p.predecessor != nil {
		p.host.predecessorPath = p.predecessor.path
		if err := p.server.Inherit(p.predecessor.messages); err != nil {
			return err
		}
	}
	// Listen for successors before the listeners for proxies open, so that a successor can always find the serving
	// process.
	if listener := listenForSuccessor(os.TempDir(), p.cfg, p.logs.limited); listener != nil {
		p.closers = append(p.closers, func() { _ = listener.Close() }) // the event loop may have closed it already
		p.host.successors = listener
	}
	return nil
}

// openStore opens the database of executions, if one is configured.
func (p *process) openStore() error {
	cfg := p.cfg.Store
	if cfg.Driver == "" {
		return nil
	}
	records, err := store.Open(store.Config{
		Driver:  cfg.Driver,
		DSN:     cfg.DSN,
		Server:  p.cfg.Name,
		Timeout: cfg.Timeout,
	})
	if err != nil {
		return err
	}
	p.closeLater("store", records)
	return p.server.UseStore(records, p.clock.Now())
}

// openReplication opens this server's replica, if replication is configured.
func (p *process) openReplication(wall server.WallClock) error {
	cfg := p.cfg.Replication
	if cfg.ServerID == 0 {
		return nil
	}
	replica, err := replication.Open(replication.Config{
		ID:                cfg.ServerID,
		Directory:         cfg.Directory,
		ReplicationFactor: cfg.ReplicationFactor,
		Consensus:         cfg.Consensus,
		Peers:             cfg.Peers,
		Retention:         p.server.LongestRetention(),
		UnixMilli:         wall.UnixMilli,
		Logf:              p.logs.Logf,
	})
	if err != nil {
		return err
	}
	p.closeLater("replica", replica)
	p.server.UseReplication(replica)
	return nil
}

// start starts the event loop, which accepts connections from then on. After an error the loop may still be running; it
// ends with the process.
func (p *process) start() (*sockets.Loop, error) {
	loop, err := sockets.Start(p.socketOptions(), p.server, func(loop *transport.Loop) { p.server.Attach(loop) })
	if err != nil {
		return nil, err
	}
	if err := p.host.attach(loop); err != nil {
		return nil, err
	}
	if p.predecessor == nil {
		return loop, nil
	}
	return loop, loop.Adopt(p.predecessor.conn, p.server.AcceptPredecessor)
}

// socketOptions returns the listeners by their index, and the limits on connections and buffers.
func (p *process) socketOptions() sockets.Options {
	limits := socketLimits(p.cfg)
	return sockets.Options{
		Listen: []string{
			server.ThriftListener:      p.cfg.Listen,
			server.AJPListener:         p.cfg.AJP.Listen,
			server.AdminListener:       p.cfg.AdminAddress,
			server.ReplicationListener: p.cfg.Replication.Listen,
		},
		DatagramPeer: p.cfg.ControlAddress,
		Clock:        p.clock,
		Options: transport.Options{
			MaxConns:    limits.connections,
			MaxBuffered: limits.buffered,
			Logf:        p.logs.Logf,
			DedicatedLimits: map[int]int{
				server.AdminListener:       server.MaxAdminConns,
				server.HandoffListener:     server.MaxHandoffConns,
				server.ReplicationListener: peers.MaxConns,
			},
		},
	}
}

// loopLimits are the limits of the event loop in a process that runs alone.
type loopLimits struct {
	connections int // accepted connections
	buffered    int // in bytes, of all connections together
}

func socketLimits(cfg config.Config) loopLimits {
	limits := loopLimits{
		connections: cfg.SocketLimit - reservedSockets - vaultConns(cfg),
		buffered:    int(cfg.MemoryLimit / bufferLimitDivisor),
	}
	if cfg.AJP.BackendAddress != "" {
		limits.connections -= cfg.AJP.BackendConnections
	}
	return limits
}

// vaultConns returns the number of descriptors reserved for connections to the vault. They are reserved whenever an
// address is configured, because a reload may enable calls.
func vaultConns(cfg config.Config) int {
	if cfg.VaultAddress == "" {
		return 0
	}
	return vaultclient.MaxConns
}
