package sim

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// plantedDispatchBugs are bugs of the request core, as its callers and its backend would see them.
var plantedDispatchBugs = []plantedBug{
	{"key-twice", "duplicate/run twice within its window", plantCoreBug(forgetRunningKey{})},
	{"answer-twice", "duplicate/answered twice", plantCoreBug(answerFailedAgain{})},
	{"refuse-run", "duplicate/refused after a run", plantCoreBug(rejectRunning{})},
	{"pass-late", "drain/run past the limit", plantCoreBug(startLateWaiter{})},
	{"late-start", "drain/unanswered at the end", func() interposer { return drainUnheard{} }},
}

// drainUnheard keeps the notice to leave from the decision module.
type drainUnheard struct{ passThrough }

func (drainUnheard) newController(settings control.Settings) (dispatch.Controller, error) {
	controller, err := control.New(settings)
	return drainlessController{controller}, err
}

type drainlessController struct{ *control.Controller }

func (c drainlessController) Step(now time.Duration, events []control.Event) []control.Action {
	heard := slices.DeleteFunc(slices.Clone(events), func(event control.Event) bool {
		_, drain := event.(control.DrainRequested)
		return drain
	})
	return c.Controller.Step(now, heard)
}

// coreBug is a bug of the request core: it changes what the core reads from a proxy or responds, and what it starts.
type coreBug interface {
	// received is called for each request that is read first; it returns the bytes that the core reads in its place.
	received(core *observedCore, request *observedRequest, raw []byte) []byte
	// responded is called for each response; it returns the bytes that the proxy gets in its place.
	responded(core *observedCore, request *observedRequest, kind thrift.ReplyKind, raw []byte) []byte
	// finished is called after the core has heard that a run ended.
	finished(core *observedCore, request *observedRequest, outcome pool.Outcome)
}

// noCoreBug changes nothing; others embed it.
type noCoreBug struct{}

func (noCoreBug) received(_ *observedCore, _ *observedRequest, raw []byte) []byte { return raw }

func (noCoreBug) responded(_ *observedCore, _ *observedRequest, _ thrift.ReplyKind, raw []byte) []byte {
	return raw
}

func (noCoreBug) finished(*observedCore, *observedRequest, pool.Outcome) {}

// forgetRunningKey forgets a key while its run goes on: the core reads a repeat as another request.
type forgetRunningKey struct{ noCoreBug }

func (forgetRunningKey) received(core *observedCore, request *observedRequest, raw []byte) []byte {
	if request.key == "" || !core.anyWithKey(request.key, (*observedRequest).running) {
		return raw
	}
	forgotten := []byte(request.key)
	forgotten[len(forgotten)-1] = '~' // No proxy's key ends so.
	return bytes.Replace(raw, []byte(request.key), forgotten, 1)
}

// answerFailedAgain answers a request again with the end of its run that was failed before.
type answerFailedAgain struct{ noCoreBug }

func (answerFailedAgain) finished(_ *observedCore, request *observedRequest, _ pool.Outcome) {
	if request.failure != nil {
		request.conn.Write(request.failure)
	}
}

// rejectRunning rejects a request that is given up while it runs, rather than failing it.
type rejectRunning struct{ noCoreBug }

func (rejectRunning) responded(
	_ *observedCore, request *observedRequest, kind thrift.ReplyKind, raw []byte,
) []byte {
	if kind == thrift.ReplyBroken && request.running() {
		return thrift.AppendThrottled(nil, request.sequenceID, nil)
	}
	return raw
}

// startLateWaiter runs a repeat in the place of an attempt that was not started, though it came past the limit of a drain.
type startLateWaiter struct{ noCoreBug }

func (startLateWaiter) finished(core *observedCore, request *observedRequest, outcome pool.Outcome) {
	if outcome != pool.Noop || request.key == "" {
		return
	}
	for _, waiter := range core.requests {
		if waiter.key == request.key && waiter.late && !waiter.spawned {
			core.poolConn.Write(pool.AppendSpawn(nil, waiter.id, waiter.class, waiter.body))
			return
		}
	}
}

// observedRequest is a request as the connections of a server's process show it.
type observedRequest struct {
	id, key, class string
	body           []byte
	conn           transport.Conn
	sequenceID     int32
	late           bool   // it was read past the limit of a drain
	forged         []byte // what the core reads in its place; nil: the same
	spawned        bool
	ended          bool
	failure        []byte // the response, where it was failed while it ran
}

// running says that the run of the request was started and has not ended.
func (r *observedRequest) running() bool { return r.spawned && !r.ended }

// observedCore is the request core of one process of a server, with a bug.
type observedCore struct {
	bug      coreBug
	requests []*observedRequest // in the order in which they were read
	byID     map[string]*observedRequest
	poolConn transport.Conn
	draining bool // past the limit
}

// plantCoreBug returns what makes the interposers for a bug, one for each process.
func plantCoreBug(bug coreBug) func() interposer {
	return func() interposer { return &observedCore{bug: bug, byID: map[string]*observedRequest{}} }
}

func (c *observedCore) anyWithKey(key string, holds func(*observedRequest) bool) bool {
	return slices.ContainsFunc(c.requests, func(r *observedRequest) bool { return r.key == key && holds(r) })
}

func (c *observedCore) handler(handler transport.Handler) transport.Handler {
	return &observedHandler{handler, c}
}

func (c *observedCore) eventLoop(loop server.EventLoop) server.EventLoop {
	return &observedLoop{loop, c}
}

// observedHandler shows the requests of proxies to a bug.
type observedHandler struct {
	transport.Handler
	core *observedCore
}

func (h *observedHandler) Accept(listener int, conn transport.Conn) transport.Session {
	if listener != server.ThriftListener {
		return h.Handler.Accept(listener, conn)
	}
	proxy := &proxyConn{Conn: conn, core: h.core, open: map[int32]*observedRequest{}}
	proxy.Session = h.Handler.Accept(listener, proxyWriter{conn, proxy})
	return proxy
}

// proxyConn is a connection to a proxy.
type proxyConn struct {
	transport.Conn
	transport.Session
	core *observedCore
	open map[int32]*observedRequest // by the sequence ID
}

// Close is that of the connection; the session has none.
func (p *proxyConn) Close() { p.Conn.Close() }

// Receive shows each whole request to the bug before the core reads it.
func (p *proxyConn) Receive(in []byte) (int, error) {
	read := slices.Clone(in)
	at := 0
	for {
		payload, size, err := thrift.SplitFrame(read[at:])
		if err != nil || payload == nil {
			return p.Session.Receive(read)
		}
		frame := read[at : at+size]
		if call, _, err := thrift.DecodeCall(payload); err == nil && call.Method == thrift.MethodProcess {
			copy(frame, p.request(call, frame))
		}
		at += size
	}
}

// request notes a request once, however often its bytes are read, and returns what the core reads in its place.
func (p *proxyConn) request(call thrift.Call, frame []byte) []byte {
	known := p.open[call.SequenceID]
	if known == nil {
		known = &observedRequest{
			id: call.Fields["id"], key: call.Fields["once"], class: call.Fields["class"], body: slices.Clone(call.Body),
			conn: p.Conn, sequenceID: call.SequenceID, late: p.core.draining,
		}
		known.forged = slices.Clone(p.core.bug.received(p.core, known, frame))
		p.open[call.SequenceID] = known
		p.core.requests = append(p.core.requests, known)
		p.core.byID[known.id] = known
	}
	return known.forged
}

// proxyWriter shows each response to the bug before the proxy gets it.
type proxyWriter struct {
	transport.Conn
	proxy *proxyConn
}

func (w proxyWriter) Write(p []byte) {
	for len(p) > 0 {
		payload, size, err := thrift.SplitFrame(p)
		if err != nil || payload == nil {
			panic("sim: the server wrote half a reply")
		}
		w.Conn.Write(w.response(payload, p[:size]))
		p = p[size:]
	}
}

func (w proxyWriter) response(payload, raw []byte) []byte {
	reply, err := thrift.DecodeReply(payload)
	request := w.proxy.open[reply.SequenceID]
	if err != nil || request == nil || reply.MethodName != "process" {
		return raw
	}
	if reply.Kind == thrift.ReplyBroken && request.running() {
		request.failure = slices.Clone(raw)
	}
	return w.proxy.core.bug.responded(w.proxy.core, request, reply.Kind, raw)
}

// observedLoop shows the runs of the worker pool to a bug.
type observedLoop struct {
	server.EventLoop
	core *observedCore
}

// CloseListener is called once the limit of a drain has passed.
func (l *observedLoop) CloseListener(listener int, done func()) {
	l.core.draining = true
	l.EventLoop.CloseListener(listener, done)
}

func (l *observedLoop) Dial(addr string, open func(transport.Conn) transport.Session) (drop func()) {
	if !strings.HasPrefix(addr, "w") {
		return l.EventLoop.Dial(addr, open)
	}
	return l.EventLoop.Dial(addr, func(conn transport.Conn) transport.Session {
		l.core.poolConn = conn
		session := open(&poolConn{conn, l.core.spawn})
		return &poolSession{session, l.core.receiveFromPool}
	})
}

// spawn notes the runs that the core starts.
func (c *observedCore) spawn(conn transport.Conn, p []byte) {
	for _, m := range commands(p, pool.ParseCommand) {
		if request := c.byID[m.command.ID]; request != nil && m.command.Verb == pool.Spawn {
			request.spawned = true
		}
	}
	conn.Write(p)
}

// receiveFromPool shows the runs that have ended to the bug, once the core has heard of them.
func (c *observedCore) receiveFromPool(session transport.Session, in []byte) (int, error) {
	messages := poolMessages(slices.Clone(in))
	n, err := session.Receive(in)
	for _, m := range messages {
		request := c.byID[m.ID]
		if m.Kind == pool.Finished && request != nil && !request.ended {
			request.ended = true
			c.bug.finished(c, request, m.Outcome)
		}
	}
	return n, err
}

// On its kept script each planted bug leads to its violation, and the server without it breaks no rule there.
func TestPlantedDispatchBugsAreSeen(t *testing.T) {
	for _, bug := range plantedDispatchBugs {
		t.Run(bug.name, func(t *testing.T) {
			script := read(t, filepath.Join("testdata", "planted", bug.name+".txt"))
			out, err := Play(script, Options{})
			require.NoError(t, err)
			clean(t, script, out)
			out, err = Play(script, Options{StopAtFirst: true, interpose: bug.interpose})
			require.NoError(t, err)
			require.NotEmpty(t, out.Violations)
			require.Equal(t, bug.want, out.Violations[0].Key(), out.Violations[0].String())
		})
	}
}

// The search finds each planted bug within a few hundred scripts. With SIM_PLANTED it writes the kept scripts anew to the
// folder of that name.
func TestSearchFindsPlantedDispatchBugs(t *testing.T) {
	t.Parallel()
	for _, bug := range plantedDispatchBugs {
		t.Run(bug.name, func(t *testing.T) {
			search := Search{FirstSeed: 1, LastSeed: 500, Profile: "worst", Servers: 3, Proxies: 4,
				Length: 12 * microtime.Second, Jobs: 2, MaxFindings: 1, interpose: bug.interpose}
			progress, err := search.Run()
			require.NoError(t, err)
			require.NotEmpty(t, progress.Findings)
			finding := progress.Findings[0]
			require.Equal(t, bug.want, finding.Violation.Key(), finding.Violation.String())
			t.Logf("script %d, after %v: %s", finding.Run, finding.After, finding.Violation.Key())
			if folder := os.Getenv("SIM_PLANTED"); folder != "" {
				options := Options{StopAtFirst: true, interpose: bug.interpose}
				least, violation, err := shrink(finding.Script, 1000, nil, options)
				require.NoError(t, err)
				text := "# " + bug.name + ": " + violation.Key() + "\n" + least.String()
				require.NoError(t, os.WriteFile(filepath.Join(folder, bug.name+".txt"), []byte(text), 0o600))
			}
		})
	}
}
