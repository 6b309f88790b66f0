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
	patience       = 30 * time.Second // bounds a test that hangs; no verdict depends on it
	startMilli     = 1764547200000    // the wall clock when the loop's clock shows 0
	retention      = 10 * microtime.Second
	retentionMilli = int64(retention / microtime.Millisecond)
	attemptTimeout = 100 * microtime.Millisecond
	keyOne         = "hill-estate\x00one"
)

// cluster is an event loop on a clock of its own, shared by the replicas of a group, and the network between them.
type cluster struct {
	t         *testing.T
	now       microtime.Time
	callbacks chan func() // from goroutines of the disk
	servers   map[uint32]*server
	pipes     []*pipe
}

// server is a replica and what it needs to be opened again.
type server struct {
	cluster *cluster
	config  Config
	replica *Replica
	cut     bool // its links lose all that is sent
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

// bootstrapped is a cluster whose servers run and make one group.
func bootstrapped(t *testing.T, ids ...uint32) *cluster {
	t.Helper()
	c := newCluster(t, ids...)
	for _, id := range ids {
		c.servers[id].start()
	}
	c.until(c.connected)
	require.NoError(t, c.servers[ids[0]].replica.Bootstrap())
	c.until(c.grouped)
	return c
}

// grouped says whether all servers know of a group.
func (c *cluster) grouped() bool {
	for _, s := range c.servers {
		if s.replica.Membership().Epoch == 0 {
			return false
		}
	}
	return true
}

// connected says whether all servers reach each other.

func (c *cluster) connected() bool {
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

// until runs the loop, a millisecond of its clock at a time, until a condition holds.
func (c *cluster) until(holds func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(patience); !holds(); {
		if time.Now().After(limit) {
			c.t.Fatal("nothing has come of it in time")
		}
		c.turn()
	}
}

// pass runs the loop for a time of its clock, in longer steps.
func (c *cluster) pass(d microtime.Time) {
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

// waitForDisk waits until all that was submitted to the disk is durable or has failed. So the disk takes none of the
// loop's time.
func (s *server) waitForDisk() {
	if s.replica == nil {
		return
	}
	done := make(chan struct{})
	s.replica.storage.committer.Do(func(*wal.Log) error { return nil }, func(error) { close(done) })
	<-done
}

// link is the event loop as one server sees it.
type link struct {
	*cluster
	from *server
}

// Dial implements Loop. A server that does not run is never reached.
func (l link) Dial(address string, open func(transport.Conn) transport.Session) func() {
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
	ends     [2]*end
	closed   bool
}

// end is one end of a pipe.
type end struct {
	session  transport.Session
	outgoing []byte
	closed   bool
}

func (e *end) Write(p []byte)  { e.outgoing = append(e.outgoing, p...) }
func (e *end) Close()          { e.closed = true }
func (e *end) Resume()         {}
func (e *end) MarkIdentified() {}
func (e *end) Remote() string  { return "peer" }

func (p *pipe) deliver() {
	if p.closed || p.from.replica == nil || p.to == nil || p.to.replica == nil || p.from.cut || p.to.cut {
		return
	}
	if p.ends[0] == nil {
		p.ends = [2]*end{{}, {}}
		p.ends[1].session = p.to.replica.Accept(p.ends[1])
		p.ends[0].session = p.open(p.ends[0])
	}
	for i, sender := range p.ends {
		sent := sender.outgoing
		sender.outgoing = nil
		receiver := p.ends[1-i]
		if n, err := receiver.session.Receive(sent); err != nil || n != len(sent) {
			p.from.cluster.t.Logf("%d bytes of %d received: %v", n, len(sent), err)
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
	replica.Attach(link{s.cluster, s})
}

// stop ends the process, as far as the others see it.
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

// await runs the loop until a call has been answered.
func (s *server) await(call func(done func(Outcome))) Outcome {
	s.cluster.t.Helper()
	var answers []Outcome
	call(func(o Outcome) { answers = append(answers, o) })
	s.cluster.until(func() bool { return len(answers) > 0 })
	require.Len(s.cluster.t, answers, 1, "one answer to each call")
	return answers[0]
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
