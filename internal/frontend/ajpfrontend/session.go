package ajpfrontend

import (
	"crypto/subtle"
	"fmt"
	"strconv"
	"strings"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/transport"
)

// The headers of answers. A request tells by headers what Thrift's fields tell: front.HeaderPrefix and the field's name. All but
// the class and the tenant may be left out; the once-key only where the class is not keyed. The class may also be the last part
// of the path.
const (
	headerFreeValue = frontend.HeaderPrefix + "Say"
	headerAfter     = frontend.HeaderPrefix + "After-Ms"
	headerLast      = frontend.HeaderPrefix + "Last"
)

const healthPath = "/health"

const (
	defaultHeldKB = 32                    // of the 13 to 63 kB that a held request takes on the platform
	idleTimeout   = 60 * microtime.Second // of a kept connection
	maxPipelined  = 64 << 10              // bytes that may wait behind a request in hand
)

// phase is what a connection waits for.
type phase uint8

const (
	awaitRequest phase = iota
	awaitBody
	awaitAnswer
	awaitClose // answered for the last time; what still comes is passed over
)

// session is one connection. It has one request at a time.
type session struct {
	orderedset.Position
	front   *Frontend
	conn    transport.Conn
	phase   phase
	request ajp.Request
	body    []byte
	readAt  microtime.Time // of the head of the request in hand
	due     microtime.Time // for a body, for the peer's close, or for the end of idleness
	id      control.RequestID
	closed  bool
	scratch []byte
}

// write sends what was appended to s.scratch[:0].
func (s *session) write(packets []byte) {
	s.scratch = packets[:0]
	s.conn.Write(packets)
}

// Closed is part of transport.Session. A body that is not whole goes with the session, and nothing runs; a
// request in hand loses its caller.
func (s *session) Closed() {
	s.closed = true
	s.front.sessions.Remove(s)
	if s.phase == awaitAnswer {
		s.front.server.Cancel(s.id)
	}
	s.body = nil
}

// Idle is part of transport.Session.
func (s *session) Idle() bool { return s.phase == awaitRequest }

// Receive is part of transport.Session.
func (s *session) Receive(in []byte) (int, error) {
	n := 0
	for {
		switch s.phase {
		case awaitClose:
			return len(in), nil
		case awaitAnswer:
			if len(in)-n > maxPipelined {
				return n, fmt.Errorf("%w: %d bytes behind a request in hand", ajp.ErrInvalidPacket, len(in)-n)
			}
			return n, nil
		}
		payload, size, err := ajp.SplitPacket(in[n:], ajp.FromServer)
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		if s.phase == awaitBody {
			err = s.takeBody(payload)
		} else {
			err = s.takePacket(payload)
		}
		if err != nil {
			return n, err
		}
	}
}

func (s *session) takePacket(payload []byte) error {
	if len(payload) == 0 {
		return fmt.Errorf("%w: empty where a request was due", ajp.ErrInvalidPacket)
	}
	s.due = s.front.server.Now() + idleTimeout
	switch payload[0] {
	case ajp.CodeCPing:
		s.conn.MarkIdentified()
		s.write(ajp.AppendCPong(s.scratch[:0]))
	case ajp.CodeShutdown: // anyone who reaches the port could stop the server
		s.front.server.Logf("ajp: %s: shutdown is not obeyed", s.conn.Remote())
	case ajp.CodePing:
	case ajp.CodeForwardRequest:
		s.takeRequest(payload)
	default:
		return fmt.Errorf("%w: unknown code %d", ajp.ErrInvalidPacket, payload[0])
	}
	return nil
}

func (s *session) takeRequest(payload []byte) {
	s.readAt, s.body = s.front.server.Now(), nil
	var err error
	s.request, err = ajp.ParseForwardRequest(payload)
	cfg := s.front.config
	switch {
	case err != nil:
		// Whether a body follows is not known, so the connection cannot be kept.
		s.refuse(400, err.Error())
	case subtle.ConstantTimeCompare([]byte(s.request.Secret), []byte(cfg.Secret)) != 1 && cfg.Secret != "":
		s.refuse(403, "the secret is not ours")
	case s.request.URI == healthPath:
		s.conn.MarkIdentified()
		s.answerHealth()
	case s.request.Method != "POST" && s.request.Method != "PUT" && s.request.Method != "GET":
		s.refuse(405, s.request.Method+" is not offered")
	case s.request.ContentLength > int64(cfg.MaxBody):
		s.refuse(413, fmt.Sprintf("a body of %d bytes is over %d", s.request.ContentLength, cfg.MaxBody))
	case s.request.ContentLength > 0:
		s.conn.MarkIdentified() // from here on the time for the body guards the connection
		// The first packet of the body comes unasked.
		s.phase, s.due = awaitBody, s.readAt+cfg.BodyTimeout
	case s.request.IsChunked():
		s.conn.MarkIdentified()
		s.phase, s.due = awaitBody, s.readAt+cfg.BodyTimeout
		s.write(ajp.AppendGetBodyChunk(s.scratch[:0], cfg.MaxBody+1))
	default:
		s.submit()
	}
}

func (s *session) takeBody(payload []byte) error {
	chunk, err := ajp.ParseBodyChunk(payload)
	if err != nil {
		return err
	}
	s.body = append(s.body, chunk...)
	have, want, most := int64(len(s.body)), s.request.ContentLength, int64(s.front.config.MaxBody)
	switch {
	case have > most:
		s.refuse(413, fmt.Sprintf("the body is over %d bytes", most))
	case want >= 0 && have > want, want >= 0 && len(chunk) == 0 && have < want:
		s.refuse(400, fmt.Sprintf("a body of %d bytes was told to have %d", have, want))
	case want < 0 && len(chunk) > 0:
		s.write(ajp.AppendGetBodyChunk(s.scratch[:0], int(most-have)+1))
	case have < want:
		s.write(ajp.AppendGetBodyChunk(s.scratch[:0], int(want-have)))
	default:
		s.submit()
	}
	return nil
}

// check ends a wait whose time is over; it returns when the next one's is.
func (s *session) check(now microtime.Time) microtime.Time {
	switch {
	case s.phase == awaitAnswer:
		return microtime.Never
	case now < s.due:
	case s.phase == awaitBody:
		s.refuse(408, "the body did not come in time")
	default:
		s.conn.Close()
		return microtime.Never
	}
	return s.due
}

// leave ends the connection once it has no request in hand.
func (s *session) leave() {
	if s.phase == awaitRequest {
		s.conn.Close()
	}
}

func (s *session) submit() {
	request, err := s.readRequest()
	if err == nil {
		s.phase = awaitAnswer
		if s.id, err = s.front.server.Submit(request); err == nil {
			s.conn.MarkIdentified()
			s.body = nil // the core has it
			return
		}
		s.phase = awaitRequest
	}
	s.front.server.Logf("ajp: %s: %v", s.conn.Remote(), err)
	s.respond(400, nil, []byte(err.Error()+"\n"), true)
}

// readRequest reads the headers as Thrift's fields, with values for those that a web front end does not know.
func (s *session) readRequest() (dispatch.Request, error) {
	server := s.front.server
	now := server.Now()
	r, err := frontend.ReadRequest(server, func(field string) string {
		if value := strings.TrimSpace(s.request.Header(frontend.HeaderPrefix + field)); value != "" {
			return value
		}
		return s.defaultField(field)
	})
	if err != nil {
		return r, err
	}
	if s.request.Header(frontend.HeaderPrefix+"at") == "" {
		r.ArrivedAt = s.readAt
	}
	// What is far in the past could only be a front end's wrong clock, and would be refused unseen.
	classes := server.Classes()
	r.ArrivedAt = max(r.ArrivedAt, now-microtime.FromDuration(classes[r.Class].Deadline))
	if s.request.Header(frontend.HeaderPrefix+"rank") == "" {
		r.Rank = middleRank(classes, r.Class)
	}
	r.Body, r.Responder = s.body, s
	return r, nil
}

// defaultField is the value of a field that is absent. Those of at and rank are placeholders: readRequest replaces them.
func (s *session) defaultField(field string) string {
	switch field {
	case "class":
		return s.request.URI[strings.LastIndexByte(s.request.URI, '/')+1:]
	case "id":
		return fmt.Sprintf("%016x", s.front.server.Rand())
	case "at", "from", "rank":
		return "0"
	case "kb":
		return strconv.Itoa(defaultHeldKB)
	}
	return ""
}

// Respond is part of routing.Replier.
func (s *session) Respond(answer dispatch.Response) {
	if s.closed || s.phase != awaitAnswer {
		return
	}
	s.phase = awaitRequest
	switch answer.Status {
	case dispatch.StatusSucceeded:
		s.respond(200, []ajp.Header{{Name: "Content-Type", Value: "application/octet-stream"}}, answer.Result, true)
	case dispatch.StatusRejected:
		s.respond(503, adviceHeaders(answer), []byte("turned away; it never ran\n"), true)
	case dispatch.StatusExpired:
		s.respond(504, nil, []byte(answer.Reason+"\n"), true)
	default:
		s.respond(502, nil, []byte(answer.Reason+"\n"), true)
	}
	s.conn.Resume() // what came behind the request
}

// adviceHeaders tell when to come back, and whether another server should be tried. A front end that knows no more than HTTP must
// not come back at once, so there is always a time.
func adviceHeaders(answer dispatch.Response) []ajp.Header {
	wait := max(frontend.CeilMilliseconds(answer.RetryAfter), 1)
	headers := []ajp.Header{
		{Name: "Retry-After", Value: strconv.FormatInt((wait+999)/1000, 10)},
		{Name: headerAfter, Value: strconv.FormatInt(wait, 10)},
	}
	if answer.NoRetry {
		headers = append(headers, ajp.Header{Name: headerLast, Value: "1"})
	}
	return headers
}

func (s *session) answerHealth() {
	if s.request.ContentLength > 0 || s.request.IsChunked() {
		s.refuse(400, "a health check has no body")
	} else if s.front.server.Healthy() {
		s.respond(200, nil, []byte("good\n"), true)
	} else {
		s.respond(503, nil, []byte("not good\n"), true)
	}
}

// refuse answers what the core never sees, and gives the connection up: a body may be on its way.
func (s *session) refuse(status int, why string) {
	s.front.server.Logf("ajp: %s: %d: %s", s.conn.Remote(), status, why)
	s.body = nil
	s.respond(status, nil, []byte(why+"\n"), false)
}

var statusText = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Payload Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// respond writes a whole response. A connection that is not kept waits for the peer to close it: a close with
// input unread would throw the response away.
func (s *session) respond(status int, headers []ajp.Header, body []byte, keep bool) {
	server := s.front.server
	if text, known := frontend.AdmissionLevelText(server); known {
		headers = append(headers, ajp.Header{Name: headerFreeValue, Value: text})
	}
	headers = append(headers, ajp.Header{Name: "Content-Length", Value: strconv.Itoa(len(body))})
	keep = keep && !server.Draining()
	out := ajp.AppendSendHeaders(s.scratch[:0], status, statusText[status], headers)
	s.write(ajp.AppendEndResponse(ajp.AppendResponseBody(out, body), keep))
	s.phase, s.due = awaitRequest, server.Now()+idleTimeout
	if !keep {
		s.phase, s.due = awaitClose, server.Now()+frontend.LingerTimeout
	}
}
