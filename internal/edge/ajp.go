package edge

import (
	"crypto/subtle"
	"fmt"
	"strconv"
	"strings"

	"pewterline/control"
	"pewterline/internal/micro"
	"pewterline/internal/ordered"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

// The headers by which a request tells what Thrift's fields tell. All but the class and the tenant may be left
// out; the once-key only where the class is not keyed. The class may also be the last part of the path.
const (
	headerPrefix = "X-Relay-" // and Class, Tenant, Once, Rank, Retry, Key, From, Id, At, Kb: the fields' names
	headerSay    = "X-Relay-Say"
	headerAfter  = "X-Relay-After-Ms"
	headerLast   = "X-Relay-Last"
	healthPath   = "/health"
)

const (
	defaultHeldKB = 32                // of the 13 to 63 kB that a held request takes on the platform
	idleMost      = 60 * micro.Second // of a kept connection
	pipelineMost  = 64 << 10          // bytes that may wait behind a request in hand
)

// ajpPhase is what a connection waits for.
type ajpPhase uint8

const (
	awaitRequest ajpPhase = iota
	awaitBody
	awaitAnswer
	awaitClose // answered for the last time; what still comes is passed over
)

// ajpSession is the front for web servers that speak AJP, on one connection. It has one request at a time.
type ajpSession struct {
	ordered.Position
	s     *Server
	conn  transport.Link
	phase ajpPhase
	req   ajp.Request
	body  []byte
	at    micro.Time // the request in hand was read
	due   micro.Time // for a body, for the peer's close, or for the end of idleness
	id    control.ID
	gone  bool
	out   []byte
}

func (s *Server) acceptAJP(c transport.Link) *ajpSession {
	a := &ajpSession{s: s, conn: c, due: s.loop.Now() + idleMost}
	if s.offices.Len() >= s.cfg.AJP.MaxConns {
		s.logf("ajp: %s turned away: %d connections are open", c.Remote(), s.offices.Len())
		a.phase = awaitClose
		c.Close()
	}
	s.offices.Add(a)
	return a
}

func (a *ajpSession) write(p []byte) {
	a.out = p[:0]
	a.conn.Write(p)
}

// Closed is part of transport.Session. A body that is not whole goes with the session, and nothing runs; a
// request in hand loses its caller.
func (a *ajpSession) Closed() {
	a.gone = true
	a.s.offices.Remove(a)
	if a.phase == awaitAnswer {
		a.s.core.GiveUp(a.id)
	}
	a.body = nil
}

// Idle is part of transport.Session.
func (a *ajpSession) Idle() bool { return a.phase == awaitRequest }

// Receive is part of transport.Session.
func (a *ajpSession) Receive(in []byte) (int, error) {
	n := 0
	for {
		switch a.phase {
		case awaitClose:
			return len(in), nil
		case awaitAnswer:
			if len(in)-n > pipelineMost {
				return n, fmt.Errorf("%w: %d bytes behind a request in hand", ajp.ErrPacket, len(in)-n)
			}
			return n, nil
		}
		payload, size, err := ajp.Split(in[n:], ajp.FromServer)
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		if a.phase == awaitBody {
			err = a.takeBody(payload)
		} else {
			err = a.takePacket(payload)
		}
		if err != nil {
			return n, err
		}
	}
}

func (a *ajpSession) takePacket(payload []byte) error {
	if len(payload) == 0 {
		return fmt.Errorf("%w: empty where a request was due", ajp.ErrPacket)
	}
	a.due = a.s.loop.Now() + idleMost
	switch payload[0] {
	case ajp.CodeCPing:
		a.conn.Vouch()
		a.write(ajp.AppendCPong(a.out[:0]))
	case ajp.CodeShutdown: // anyone who reaches the port could stop the server
		a.s.logf("ajp: %s: shutdown is not obeyed", a.conn.Remote())
	case ajp.CodePing:
	case ajp.CodeForward:
		a.takeRequest(payload)
	default:
		return fmt.Errorf("%w: unknown code %d", ajp.ErrPacket, payload[0])
	}
	return nil
}

func (a *ajpSession) takeRequest(payload []byte) {
	a.at, a.body = a.s.loop.Now(), nil
	var err error
	a.req, err = ajp.ParseForward(payload)
	cfg := a.s.cfg.AJP
	switch {
	case err != nil:
		// Whether a body follows is not known, so the connection cannot be kept.
		a.refuse(400, err.Error())
	case subtle.ConstantTimeCompare([]byte(a.req.Secret), []byte(cfg.Secret)) != 1 && cfg.Secret != "":
		a.refuse(403, "the secret is not ours")
	case a.req.URI == healthPath:
		a.conn.Vouch()
		a.health()
	case a.req.Method != "POST" && a.req.Method != "PUT" && a.req.Method != "GET":
		a.refuse(405, a.req.Method+" is not offered")
	case a.req.Length > int64(cfg.MaxBody):
		a.refuse(413, fmt.Sprintf("a body of %d bytes is over %d", a.req.Length, cfg.MaxBody))
	case a.req.Length > 0:
		a.conn.Vouch() // from here on the time for the body guards the connection
		// The first packet of the body comes unasked.
		a.phase, a.due = awaitBody, a.at+cfg.BodyTimeout
	case a.req.Chunked():
		a.conn.Vouch()
		a.phase, a.due = awaitBody, a.at+cfg.BodyTimeout
		a.write(ajp.AppendGetBody(a.out[:0], cfg.MaxBody+1))
	default:
		a.submit()
	}
}

func (a *ajpSession) takeBody(payload []byte) error {
	chunk, err := ajp.ParseBody(payload)
	if err != nil {
		return err
	}
	a.body = append(a.body, chunk...)
	have, want, most := int64(len(a.body)), a.req.Length, int64(a.s.cfg.AJP.MaxBody)
	switch {
	case have > most:
		a.refuse(413, fmt.Sprintf("the body is over %d bytes", most))
	case want >= 0 && have > want, want >= 0 && len(chunk) == 0 && have < want:
		a.refuse(400, fmt.Sprintf("a body of %d bytes was told to have %d", have, want))
	case want < 0 && len(chunk) > 0:
		a.write(ajp.AppendGetBody(a.out[:0], int(most-have)+1))
	case have < want:
		a.write(ajp.AppendGetBody(a.out[:0], int(want-have)))
	default:
		a.submit()
	}
	return nil
}

// check closes the bounded waits; it returns when the next one ends.
func (a *ajpSession) check(now micro.Time) micro.Time {
	switch {
	case a.phase == awaitAnswer:
		return micro.Never
	case now < a.due:
	case a.phase == awaitBody:
		a.refuse(408, "the body did not come in time")
	default:
		a.conn.Close()
		return micro.Never
	}
	return a.due
}

// leave ends the connection once it has no request in hand.
func (a *ajpSession) leave() {
	if a.phase == awaitRequest {
		a.conn.Close()
	}
}

func (a *ajpSession) submit() {
	r, err := a.request()
	if err == nil {
		a.phase = awaitAnswer
		if a.id, err = a.s.submit(r); err == nil {
			a.conn.Vouch()
			a.body = nil // the core has it
			return
		}
		a.phase = awaitRequest
	}
	a.s.logf("ajp: %s: %v", a.conn.Remote(), err)
	a.respond(400, nil, []byte(err.Error()+"\n"), true)
}

// request reads the headers as Thrift's fields, with values for those that a web front end does not know.
func (a *ajpSession) request() (routing.Request, error) {
	now := a.s.loop.Now()
	r, err := a.s.request(func(name string) string {
		v := strings.TrimSpace(a.req.Get(headerPrefix + name))
		if v != "" {
			return v
		}
		switch name {
		case "class":
			return a.req.URI[strings.LastIndexByte(a.req.URI, '/')+1:]
		case "id":
			return fmt.Sprintf("%016x", a.s.loop.Rand())
		case "at", "from":
			return "0"
		case "kb":
			return strconv.Itoa(defaultHeldKB)
		case "rank":
			return "0"
		}
		return ""
	})
	if err != nil {
		return r, err
	}
	if a.req.Get(headerPrefix+"at") == "" {
		r.At = a.at
	}
	// What is far in the past could only be a front end's wrong clock, and would be refused unseen.
	r.At = max(r.At, now-micro.Of(a.s.cfg.Settings.Classes[r.Class].Deadline))
	if a.req.Get(headerPrefix+"rank") == "" {
		r.Rank = a.s.midRank(r.Class)
	}
	r.Body, r.Reply = a.body, a
	return r, nil
}

// midRank is the middle of a class's band of ranks: equal bands, by worth.
func (s *Server) midRank(class int) float64 {
	classes, below := s.cfg.Settings.Classes, 0
	for i, c := range classes {
		if own := classes[class]; c.Worth < own.Worth || c.Worth == own.Worth && i < class {
			below++
		}
	}
	return (float64(below) + 0.5) / float64(len(classes))
}

// Reply is part of routing.Replier.
func (a *ajpSession) Reply(ans routing.Answer) {
	if a.gone || a.phase != awaitAnswer {
		return
	}
	a.phase = awaitRequest
	switch ans.Status {
	case routing.Served:
		a.respond(200, []ajp.Header{{Name: "Content-Type", Value: "application/octet-stream"}}, ans.Result, true)
	case routing.Refused:
		// A front end that knows no more than HTTP must not come back at once, so there is always a time.
		wait := max(wholeMS(ans.After), 1)
		h := []ajp.Header{{Name: "Retry-After", Value: strconv.FormatInt((wait+999)/1000, 10)},
			{Name: headerAfter, Value: strconv.FormatInt(wait, 10)}}
		if ans.Last {
			h = append(h, ajp.Header{Name: headerLast, Value: "1"})
		}
		a.respond(503, h, []byte("turned away; it never ran\n"), true)
	case routing.Expired:
		a.respond(504, nil, []byte(ans.Reason+"\n"), true)
	default:
		a.respond(502, nil, []byte(ans.Reason+"\n"), true)
	}
	a.conn.Resume() // what came behind the request
}

func (a *ajpSession) health() {
	if a.req.Length > 0 || a.req.Chunked() {
		a.refuse(400, "a health check has no body")
	} else if a.s.healthy() {
		a.respond(200, nil, []byte("good\n"), true)
	} else {
		a.respond(503, nil, []byte("not good\n"), true)
	}
}

// refuse answers what the core never sees, and gives the connection up: a body may be on its way.
func (a *ajpSession) refuse(status int, why string) {
	a.s.logf("ajp: %s: %d: %s", a.conn.Remote(), status, why)
	a.body = nil
	a.respond(status, nil, []byte(why+"\n"), false)
}

var statusText = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Payload Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// respond writes a whole response. A connection that is not kept waits for the peer to close it: a close with
// input unread would throw the response away.
func (a *ajpSession) respond(status int, headers []ajp.Header, body []byte, keep bool) {
	if v, ok := a.s.core.Say(); ok {
		headers = append(headers, ajp.Header{Name: headerSay, Value: strconv.FormatFloat(v, 'f', 4, 64)})
	}
	headers = append(headers, ajp.Header{Name: "Content-Length", Value: strconv.Itoa(len(body))})
	keep = keep && !a.s.farewell
	out := ajp.AppendHeaders(a.out[:0], status, statusText[status], headers)
	a.write(ajp.AppendEnd(ajp.AppendChunks(out, body), keep))
	a.phase, a.due = awaitRequest, a.s.loop.Now()+idleMost
	if !keep {
		a.phase, a.due = awaitClose, a.s.loop.Now()+lingerMost
	}
}
