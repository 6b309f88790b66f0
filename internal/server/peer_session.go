package server

import (
	"fmt"

	"pewterline/internal/decide/handoff"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/transport"
)

const (
	// connectionCountInterval is the time between two messages about the number of open connections.
	connectionCountInterval = 100 * microtime.Millisecond
	// keySyncTimeout is how long a successor may take to receive all keys. An upgrade is abandoned unless the successor
	// is ready within 6 s, so a successor that takes longer has hung.
	keySyncTimeout = 6 * microtime.Second
)

// peerSession is one end of the link between an old process and its successor. It implements transport.Session for the
// loop and dispatch.PeerProcess for the core.
type peerSession struct {
	server    *Server
	conn      transport.Conn // nil in the successor until its loop runs
	successor bool           // the other process is the successor

	preambleRead    bool
	ownershipPassed bool
	keysSent        bool                      // the other process has received all keys
	unsentKeys      []dispatch.IdempotencyKey // the keys that a successor has yet to receive
	startedAt       microtime.Time
	lastCount       int            // the number in the last ConnectionCount message
	nextCountAt     microtime.Time // when the next ConnectionCount message may be sent
	writeBuffer     []byte
}

// Receive implements transport.Session.
func (p *peerSession) Receive(in []byte) (int, error) {
	read := 0
	if !p.preambleRead {
		ok, err := upgrade.CheckPreamble(in)
		if err != nil || !ok {
			return 0, err
		}
		p.preambleRead, read = true, len(upgrade.Preamble)
		p.conn.Write(upgrade.Preamble[:])
	}
	for {
		message, size, err := upgrade.Parse(in[read:])
		if err != nil || size == 0 {
			return read, err
		}
		read += size
		if err := p.handle(message); err != nil {
			return read, err
		}
	}
}

// Idle implements transport.Session.
func (p *peerSession) Idle() bool { return false }

// Closed implements transport.Session. It handles the end of the other process or the loss of the link.
func (p *peerSession) Closed() {
	server := p.server
	if server.handoff.peer != p {
		return
	}
	server.handoff.peer = nil
	if p.successor {
		server.logf("server: the successor is gone: ownership_passed=%v", p.ownershipPassed)
	} else {
		server.logf("server: the predecessor is gone: ownership_passed=%v", p.ownershipPassed)
	}
	server.core.PeerLost()
	server.handoff.host.ShareLimits(-1)
	if !p.successor && !p.ownershipPassed {
		server.handoff.host.Orphaned()
	}
}

// role returns the role of the other process.
func (p *peerSession) role() string {
	if p.successor {
		return "successor"
	}
	return "predecessor"
}

func (p *peerSession) send(message upgrade.Message) {
	if p.conn != nil {
		p.writeBuffer = upgrade.Append(p.writeBuffer[:0], message)
		p.conn.Write(p.writeBuffer)
	}
}

// handle handles one message. It returns an error if the other side violates the protocol.
func (p *peerSession) handle(message upgrade.Message) error {
	switch {
	case p.server.handoff.peer == p && message.Kind >= upgrade.Claim:
		p.handleKey(message)
	case p.server.handoff.peer == p:
		p.handleProcess(message)
	case message.Kind == upgrade.Hello && p.successor:
		p.acceptHello(message)
	default: // the other side is not identified until it sends Hello
		return fmt.Errorf("%w: kind %d before hello", upgrade.ErrMalformedFrame, message.Kind)
	}
	return nil
}

// handleProcess handles a message about the process as a whole. Kinds that are not listed here are ignored.
func (p *peerSession) handleProcess(message upgrade.Message) {
	server := p.server
	switch message.Kind {
	case upgrade.Welcome:
		server.outOfService = message.OutOfService
		if message.Learned != nil {
			server.core.RestoreLearned(*message.Learned)
		}
	case upgrade.NextChunk:
		p.sendKeys()
	case upgrade.OwnershipTransferred:
		p.ownershipPassed = true
		server.logf("server: the predecessor has handed over")
		server.core.TakeOwnership()
	case upgrade.ServiceChanged:
		server.outOfService = message.OutOfService
		server.logf("server: service state set at the other process: in_service=%v role=%s", !message.OutOfService, p.role())
	case upgrade.ConnectionCount:
		server.handoff.host.ShareLimits(message.Connections)
	default:
	}
}

// handleKey handles a message about an idempotency key. Keys of a class or tenant that this process does not know are
// ignored, because no request with such a key can arrive here.
func (p *peerSession) handleKey(message upgrade.Message) {
	server := p.server
	class, classKnown := server.names.class(message.Class)
	tenant, tenantKnown := server.names.tenant(message.Tenant)
	if !classKnown || !tenantKnown {
		return
	}
	request := dispatch.KeyedRequest{
		Class:          class,
		Tenant:         tenant,
		IdempotencyKey: message.IdempotencyKey,
		ArrivedAt:      server.clock.FromUnixMilli(message.ArrivedAtMilli),
		Result:         message.Result,
	}
	switch message.Kind {
	case upgrade.Claim:
		server.core.PeerClaimed(request)
	case upgrade.Grant:
		server.core.PeerGranted(request)
	case upgrade.Started:
		server.core.PeerStarted(request)
	case upgrade.Succeeded:
		server.core.PeerFinished(request, dispatch.RunSucceeded)
	case upgrade.Failed:
		server.core.PeerFinished(request, dispatch.RunFailed)
	case upgrade.Released:
		server.core.PeerReleased(request)
	default:
	}
}

// acceptHello accepts the sender of a Hello as the successor, or rejects it for the reason that rejectionReason gives.
func (p *peerSession) acceptHello(hello upgrade.Message) {
	server := p.server
	p.conn.MarkIdentified()
	if reason := server.rejectionReason(hello.Name); reason != "" {
		server.logf("server: a successor is rejected: reason=%s", reason)
		p.send(upgrade.Message{Kind: upgrade.Reject, Reason: reason})
		p.conn.Close()
		return
	}
	server.handoff.peer, p.startedAt = p, server.loop.Now()
	server.logf("server: a successor has connected")
	server.handoff.host.SteerListeners(0)
	server.handoff.host.ShareLimits(0) // the successor has no connections yet
	server.core.JoinPeer(p, handoff.Owner)
	learned := server.core.LearnedState()
	p.send(upgrade.Message{Kind: upgrade.Welcome, OutOfService: server.outOfService, Learned: &learned})
	p.sendConnectionCount()
	p.unsentKeys = server.core.Keys()
	p.sendKeys()
}

// rejectionReason returns why a successor with this name must be rejected, or "" if it is accepted.
func (s *Server) rejectionReason(name string) string {
	switch {
	case name != s.cfg.Name:
		return "this is " + s.cfg.Name
	case s.shutdown.stage != serving:
		return "leaving"
	case s.handoff.peer != nil:
		return "an upgrade is under way"
	}
	return ""
}

// sendKeys sends the next chunk of keys, or Synced if there are no more.
func (p *peerSession) sendKeys() {
	if p.keysSent {
		return
	}
	count := min(len(p.unsentKeys), upgrade.ChunkKeys)
	for _, key := range p.unsentKeys[:count] {
		p.server.core.AnnounceKey(key)
	}
	p.unsentKeys = p.unsentKeys[count:]
	if count > 0 {
		p.send(upgrade.Message{Kind: upgrade.NextChunk})
		return
	}
	p.keysSent = true
	p.send(upgrade.Message{Kind: upgrade.Synced})
}

// check runs the session's timers and returns when to check again. A successor that hangs while it receives the keys is
// disconnected, because it would block further upgrades.
func (p *peerSession) check(now microtime.Time) microtime.Time {
	if !p.keysSent && now >= p.startedAt+keySyncTimeout {
		p.server.logf("server: the successor has not received all keys in time: timeout=%v", keySyncTimeout.Duration())
		p.conn.Close()
		return microtime.Never
	}
	if now >= p.nextCountAt {
		p.nextCountAt = now + connectionCountInterval
		p.sendConnectionCount()
	}
	return p.nextCountAt
}

// sendConnectionCount sends the number of open connections to the successor if it has changed, so that both processes
// together stay within one limit.
func (p *peerSession) sendConnectionCount() {
	if open := p.server.clients.connections(); p.lastCount != open {
		p.lastCount = open
		p.send(upgrade.Message{Kind: upgrade.ConnectionCount, Connections: open})
	}
}

func (p *peerSession) sendKey(kind upgrade.Kind, request dispatch.KeyedRequest) {
	s := p.server
	message := upgrade.Message{
		Kind:           kind,
		Class:          s.cfg.Settings.Classes[request.Class].Name,
		Tenant:         s.tenantName(request.Tenant),
		IdempotencyKey: request.IdempotencyKey,
		ArrivedAtMilli: s.clock.UnixMilli(request.ArrivedAt),
	}
	if kind == upgrade.Succeeded {
		message.Result = request.Result
	}
	p.send(message)
}

// Claim implements dispatch.PeerProcess.
func (p *peerSession) Claim(request dispatch.KeyedRequest) { p.sendKey(upgrade.Claim, request) }

// Grant implements dispatch.PeerProcess.
func (p *peerSession) Grant(request dispatch.KeyedRequest) { p.sendKey(upgrade.Grant, request) }

// NotifyStarted implements dispatch.PeerProcess.
func (p *peerSession) NotifyStarted(request dispatch.KeyedRequest) {
	p.sendKey(upgrade.Started, request)
}

// NotifyReleased implements dispatch.PeerProcess.
func (p *peerSession) NotifyReleased(request dispatch.KeyedRequest) {
	p.sendKey(upgrade.Released, request)
}

// NotifyFinished implements dispatch.PeerProcess.
func (p *peerSession) NotifyFinished(request dispatch.KeyedRequest, outcome dispatch.RunOutcome) {
	// A result that is too long for a message is reported as a failure: the other process cannot serve it, and must not
	// run the request again.
	if outcome == dispatch.RunSucceeded && len(request.Result) <= upgrade.MaxResult {
		p.sendKey(upgrade.Succeeded, request)
		return
	}
	p.sendKey(upgrade.Failed, request)
}
