package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/transport"
	"pewterline/internal/wal"
)

const (
	testTimeout    = 30 * time.Second // real time after which a test that hangs fails; no assertion depends on it
	startMilli     = 1764547200000    // Unix time in milliseconds when the simulated clock shows 0
	retention      = 10 * microtime.Second
	retentionMilli = int64(retention / microtime.Millisecond)
	attemptTimeout = 100 * microtime.Millisecond
	testKey        = "hill-estate\x00one"
)

// cluster simulates the network between the replicas of a group, and the event loop and clock that they share.
type cluster struct {
	t         *testing.T
	now       microtime.Time
	callbacks chan func() // to run in the event loop; sent by the goroutines that write to the disk
	servers   map[uint32]*server
	pipes     []*pipe
}

// server holds a replica and its configuration. replica is nil while the server is stopped.
type server struct {
	cluster     *cluster
	config      Config
	replica     *Replica
	partitioned bool // nothing is delivered on its links
}

func newCluster(t *testing.T, ids ...uint32) *cluster {
	t.Helper()
	group := &cluster{t: t, now: microtime.Second, callbacks: make(chan func(), 10_000), servers: map[uint32]*server{}}
	var peers []consensus.Member
	for _, id := range ids {
		peers = append(peers, consensus.Member{Identity: consensus.Identity{ID: id}, Addr: fmt.Sprint(id)})
	}
	for _, id := range ids {
		group.servers[id] = &server{cluster: group, config: Config{
			ID:                id,
			Directory:         t.TempDir(),
			ReplicationFactor: len(ids),
			Consensus: consensus.Config{
				AttemptTimeout:  attemptTimeout,
				ProposalTimeout: 4 * attemptTimeout,
				MaxInFlight:     100,
				RepairRate:      1000,
				MaxRepairs:      10,
			},
			Peers:     peers,
			Retention: retention,
			UnixMilli: func(at microtime.Time) int64 { return startMilli + int64(at/microtime.Millisecond) },
			Logf:      t.Logf,
		}}
	}
	t.Cleanup(func() {
		for _, s := range group.servers {
			s.stop()
		}
	})
	return group
}

// newBootstrappedCluster returns a cluster whose servers run and are the members of one group.
func newBootstrappedCluster(t *testing.T, ids ...uint32) *cluster {
	t.Helper()
	c := newCluster(t, ids...)
	for _, id := range ids {
		c.servers[id].start()
	}
	c.runUntil(c.fullyConnected)
	require.NoError(t, c.servers[ids[0]].replica.Bootstrap())
	c.runUntil(c.allHaveMembership)
	return c
}

// allHaveMembership reports whether all servers know a membership.
func (c *cluster) allHaveMembership() bool {
	for _, s := range c.servers {
		if s.replica.Membership().Epoch == 0 {
			return false
		}
	}
	return true
}

// fullyConnected reports whether all servers can reach each other.
func (c *cluster) fullyConnected() bool {
	for _, s := range c.servers {
		for id := range c.servers {
			if id != s.config.ID && !s.replica.links.Connected(id) {
				return false
			}
		}
	}
	return true
}

// Now implements Loop.
func (c *cluster) Now() microtime.Time { return c.now }

// Execute implements Loop.
func (c *cluster) Execute(f func()) error {
	c.callbacks <- f
	return nil
}

// runUntil runs the loop in steps of one millisecond of simulated time until a condition holds.
func (c *cluster) runUntil(holds func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(testTimeout); !holds(); {
		if time.Now().After(limit) {
			c.t.Fatal("the condition did not hold within testTimeout")
		}
		c.turn()
	}
}

// runFor runs the loop for a duration of simulated time, in steps of about 20 milliseconds.
func (c *cluster) runFor(d microtime.Time) {
	c.t.Helper()
	const step = 20 * microtime.Millisecond
	for end := c.now + d; c.now < end; c.now += step {
		c.turn()
	}
}

func (c *cluster) turn() {
	c.now += microtime.Millisecond
	for _, p := range c.pipes {
		p.deliver()
	}
	ids := slices.Sorted(maps.Keys(c.servers))
	for _, id := range ids {
		if s := c.servers[id]; s.replica != nil {
			s.replica.Tick(c.now)
		}
	}
	for _, id := range ids {
		c.servers[id].waitForDisk()
	}
	for len(c.callbacks) > 0 {
		(<-c.callbacks)()
	}
}

// waitForDisk waits until all queued writes are durable or have failed, so that writes take no simulated time.
func (s *server) waitForDisk() {
	if s.replica == nil {
		return
	}
	done := make(chan struct{})
	s.replica.storage.committer.Do(func(*wal.Log) error { return nil }, func(error) { close(done) })
	<-done
}

// serverLoop is the event loop of the cluster as one server sees it: it dials connections from that server.
type serverLoop struct {
	*cluster
	from *server
}

// Dial implements Loop. The connection is established once both servers run.
func (l serverLoop) Dial(address string, open func(transport.Conn) transport.Session) func() {
	var id uint32
	_, err := fmt.Sscan(address, &id)
	require.NoError(l.t, err)
	p := &pipe{from: l.from, to: l.servers[id], open: open}
	l.pipes = append(l.pipes, p)
	return func() { p.closed = true }
}

// pipe is a connection between two servers.
type pipe struct {
	from, to *server
	open     func(transport.Conn) transport.Session
	ends     [2]*pipeEnd
	closed   bool
}

// pipeEnd is one end of a pipe. It implements transport.Conn.
type pipeEnd struct {
	session  transport.Session
	outgoing []byte
	closed   bool
}

func (e *pipeEnd) Write(p []byte)  { e.outgoing = append(e.outgoing, p...) }
func (e *pipeEnd) Close()          { e.closed = true }
func (e *pipeEnd) Resume()         {}
func (e *pipeEnd) MarkIdentified() {}
func (e *pipeEnd) Remote() string  { return "peer" }

func (p *pipe) deliver() {
	if p.closed || p.from.replica == nil || p.to == nil || p.to.replica == nil || p.from.partitioned || p.to.partitioned {
		return
	}
	if p.ends[0] == nil {
		p.ends = [2]*pipeEnd{{}, {}}
		p.ends[1].session = p.to.replica.Accept(p.ends[1])
		p.ends[0].session = p.open(p.ends[0])
	}
	for i, sender := range p.ends {
		sent := sender.outgoing
		sender.outgoing = nil
		receiver := p.ends[1-i]
		if n, err := receiver.session.Receive(sent); err != nil || n != len(sent) {
			p.from.cluster.t.Logf("closing the connection: %d bytes of %d received: %v", n, len(sent), err)
			receiver.closed = true
		}
	}
	if p.ends[0].closed || p.ends[1].closed {
		p.close()
	}
}

func (p *pipe) close() {
	p.closed = true
	for i, s := range []*server{p.from, p.to} {
		if p.ends[i] != nil && s.replica != nil {
			p.ends[i].session.Closed()
		}
	}
}

// start opens the replica and attaches it to the loop.
func (s *server) start() {
	t := s.cluster.t
	t.Helper()
	replica, err := Open(s.config)
	require.NoError(t, err)
	s.replica = replica
	replica.Attach(serverLoop{s.cluster, s})
}

// stop closes the replica and its connections, as when the process ends.
func (s *server) stop() {
	if s.replica == nil {
		return
	}
	require.NoError(s.cluster.t, s.replica.Close())
	s.replica = nil
	for _, p := range s.cluster.pipes {
		if !p.closed && (p.from == s || p.to == s) {
			p.close()
		}
	}
}

// attempt returns an attempt that arrives now.
func (s *server) attempt(key string) Attempt {
	now := s.cluster.now
	return Attempt{Key: key, ArrivedAtMilli: s.config.UnixMilli(now), RetentionMilli: retentionMilli,
		Deadline: now + microtime.Second}
}

// await makes a call and runs the loop until its outcome is reported.
func (s *server) await(call func(done func(Outcome))) Outcome {
	s.cluster.t.Helper()
	var outcomes []Outcome
	call(func(o Outcome) { outcomes = append(outcomes, o) })
	s.cluster.runUntil(func() bool { return len(outcomes) > 0 })
	require.Len(s.cluster.t, outcomes, 1, "each call reports one outcome")
	return outcomes[0]
}

func (s *server) acquire(key string) Outcome {
	s.cluster.t.Helper()
	return s.await(func(done func(Outcome)) { s.replica.AcquireLease(s.attempt(key), done) })
}

func (s *server) complete(key string, succeeded bool, result string) Outcome {
	s.cluster.t.Helper()
	return s.await(func(done func(Outcome)) { s.replica.Complete(key, succeeded, []byte(result), done) })
}

func (s *server) lookup(key string) Outcome {
	s.cluster.t.Helper()
	return s.await(func(done func(Outcome)) { s.replica.Lookup(s.attempt(key), done) })
}
