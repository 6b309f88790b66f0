package sim

import (
	"slices"
	"strings"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// coreBug is a bug of the request core, reproduced on its connections to callers and to the worker pool.
type coreBug interface {
	// received is called for each new request of a proxy, before the core reads it. It returns the bytes that the core
	// reads instead, which have the same length.
	received(core *observedCore, request *observedRequest, raw []byte) []byte
	// failed is called for each response that fails a request. It returns the bytes that the caller receives instead.
	failed(request *observedRequest, response failure) []byte
	// finished is called after the core has received the end of a run.
	finished(core *observedCore, request *observedRequest)
}

// failure is a response that fails a request.
type failure struct {
	raw []byte
	// rejection is the encoding of a response that rejects the request.
	rejection []byte
}

// noCoreBug changes nothing. Bugs embed it.
type noCoreBug struct{}

func (noCoreBug) received(_ *observedCore, _ *observedRequest, raw []byte) []byte { return raw }

func (noCoreBug) failed(_ *observedRequest, response failure) []byte { return response.raw }

func (noCoreBug) finished(*observedCore, *observedRequest) {}

// observedRequest is a request as observed on the connections of a server process.
type observedRequest struct {
	id, key, class  string
	body            []byte
	afterDrainLimit bool   // was read after the limit of a drain
	replacement     []byte // bytes that the core reads instead
	started         bool   // its run was sent to the worker pool
	ended           bool   // the core has received the end of the run
	outcome         pool.Outcome
	// resendFailure sends the response that failed the request to the proxy once more; nil if no response failed it.
	resendFailure func()
}

// running reports whether the run of the request was started and has not ended.
func (r *observedRequest) running() bool { return r.started && !r.ended }

// observedCore is an interposer that observes the request core of one process of a server and applies a bug to it.
type observedCore struct {
	bug              coreBug
	requests         []*observedRequest // in the order in which they were read
	byID             map[string]*observedRequest
	poolConn         transport.Conn
	drainLimitPassed bool // the limit of the drain has passed
}

// plantCoreBug returns a function that returns a new interposer with the bug for each process.
func plantCoreBug(bug coreBug) func() interposer {
	return func() interposer { return &observedCore{bug: bug, byID: map[string]*observedRequest{}} }
}

// add records a request. It does so only once, even if the bytes of the request are read repeatedly.
func (c *observedCore) add(request *observedRequest, raw []byte) *observedRequest {
	if known := c.byID[request.id]; known != nil {
		return known
	}
	request.afterDrainLimit = c.drainLimitPassed
	request.replacement = slices.Clone(c.bug.received(c, request, raw))
	c.requests = append(c.requests, request)
	c.byID[request.id] = request
	return request
}

// anyRunning reports whether a request with the key is running.
func (c *observedCore) anyRunning(key string) bool {
	return slices.ContainsFunc(c.requests, func(r *observedRequest) bool { return r.key == key && r.running() })
}

func (c *observedCore) handler(handler transport.Handler) transport.Handler {
	return &observedHandler{handler, c}
}

func (c *observedCore) eventLoop(loop server.EventLoop) server.EventLoop {
	return &observedLoop{loop, c}
}

// observedHandler passes the requests of clients to a bug.
type observedHandler struct {
	transport.Handler
	core *observedCore
}

func (h *observedHandler) Accept(listener int, conn transport.Conn) transport.Session {
	switch listener {
	case server.ThriftListener:
		proxy := &observedProxy{Conn: conn, core: h.core, open: map[int32]*observedRequest{}}
		return &observedSession{h.Handler.Accept(listener, proxy), proxy.read}
	case server.AJPListener:
		web := &observedWebServer{Conn: conn, core: h.core}
		return &observedSession{h.Handler.Accept(listener, web), web.read}
	}
	return h.Handler.Accept(listener, conn)
}

// observedSession passes the input of a client to read before the server reads it.
type observedSession struct {
	transport.Session
	read func(in []byte) []byte
}

func (s *observedSession) Receive(in []byte) (int, error) { return s.Session.Receive(s.read(in)) }

// observedProxy is a connection to a proxy.
type observedProxy struct {
	transport.Conn
	core *observedCore
	open map[int32]*observedRequest // by sequence ID
}

// read passes each complete request to the bug, and returns the bytes that the core reads.
func (p *observedProxy) read(in []byte) []byte {
	changed := slices.Clone(in)
	for rest := changed; ; {
		payload, size, err := thrift.SplitFrame(rest)
		if err != nil || payload == nil {
			return changed
		}
		call, _, err := thrift.DecodeCall(payload)
		if err == nil && call.Method == thrift.MethodProcess {
			request := p.core.add(&observedRequest{
				id: call.Fields["id"], key: call.Fields["once"], class: call.Fields["class"], body: slices.Clone(call.Body),
			}, rest[:size])
			p.open[call.SequenceID] = request
			copy(rest[:size], request.replacement)
		}
		rest = rest[size:]
	}
}

// Write passes each response to the bug before the proxy receives it.
func (p *observedProxy) Write(out []byte) {
	for len(out) > 0 {
		payload, size, err := thrift.SplitFrame(out)
		if err != nil || payload == nil {
			panic("sim: the server wrote an incomplete message")
		}
		p.Conn.Write(p.response(payload, out[:size]))
		out = out[size:]
	}
}

func (p *observedProxy) response(payload, raw []byte) []byte {
	reply, err := thrift.DecodeReply(payload)
	request := p.open[reply.SequenceID]
	if err != nil || request == nil || reply.Kind != thrift.ReplyBroken {
		return raw
	}
	again := slices.Clone(raw)
	request.resendFailure = func() { p.Conn.Write(again) }
	rejection := thrift.AppendThrottled(nil, reply.SequenceID, nil)
	return p.core.bug.failed(request, failure{raw, rejection})
}

// observedWebServer is a connection to a web server, which has one request open at a time.
type observedWebServer struct {
	transport.Conn
	core *observedCore
	open *observedRequest
}

// read records each request whose head is complete.
func (w *observedWebServer) read(in []byte) []byte {
	for rest := in; ; {
		payload, size, err := ajp.SplitPacket(rest, ajp.FromServer)
		if err != nil || payload == nil {
			return in
		}
		head, err := ajp.ParseForwardRequest(payload)
		if id := head.Header("X-Relay-id"); err == nil && id != "" {
			w.open = w.core.add(&observedRequest{id: id, key: head.Header("X-Relay-once")}, nil)
		}
		rest = rest[size:]
	}
}

// Write passes the head of each response that fails a request to the bug before the web server receives it.
func (w *observedWebServer) Write(out []byte) {
	for len(out) > 0 {
		payload, size, err := ajp.SplitPacket(out, ajp.FromContainer)
		if err != nil || payload == nil {
			panic("sim: the server wrote an incomplete packet")
		}
		w.Conn.Write(w.response(payload, out[:size]))
		out = out[size:]
	}
}

func (w *observedWebServer) response(payload, raw []byte) []byte {
	const (
		statusBadGateway         = 502
		statusServiceUnavailable = 503
		statusGatewayTimeout     = 504
	)
	head, err := ajp.ParseResponse(payload)
	failed := head.Status == statusBadGateway || head.Status == statusGatewayTimeout
	if err != nil || w.open == nil || head.Code != ajp.CodeSendHeaders || !failed {
		return raw
	}
	rejection := ajp.AppendSendHeaders(nil, statusServiceUnavailable, "", head.Headers)
	return w.core.bug.failed(w.open, failure{raw, rejection})
}

// observedLoop passes the runs of the worker pool to a bug.
type observedLoop struct {
	server.EventLoop
	core *observedCore
}

// CloseListener records that the limit of a drain has passed, which is when the server calls it.
func (l *observedLoop) CloseListener(listener int, done func()) {
	l.core.drainLimitPassed = true
	l.EventLoop.CloseListener(listener, done)
}

func (l *observedLoop) Dial(addr string, open func(transport.Conn) transport.Session) (drop func()) {
	if !strings.HasPrefix(addr, "w") {
		return l.EventLoop.Dial(addr, open)
	}
	return l.EventLoop.Dial(addr, func(conn transport.Conn) transport.Session {
		l.core.poolConn = conn
		session := open(&poolConn{conn, l.core.writeToPool})
		return &poolSession{session, l.core.receiveFromPool}
	})
}

// writeToPool records the runs that the core starts.
func (c *observedCore) writeToPool(conn transport.Conn, p []byte) {
	for _, m := range commands(p, pool.ParseCommand) {
		if request := c.byID[m.command.ID]; request != nil && m.command.Verb == pool.Spawn {
			request.started = true
		}
	}
	conn.Write(p)
}

// receiveFromPool passes ended runs to the bug after the core has received their ends.
func (c *observedCore) receiveFromPool(session transport.Session, in []byte) (int, error) {
	messages := poolMessages(slices.Clone(in))
	n, err := session.Receive(in)
	for _, m := range messages {
		request := c.byID[m.ID]
		if m.Kind == pool.Finished && request != nil && !request.ended {
			request.ended, request.outcome = true, m.Outcome
			c.bug.finished(c, request)
		}
	}
	return n, err
}
