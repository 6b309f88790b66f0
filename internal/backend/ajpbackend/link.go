package ajpbackend

import (
	"fmt"
	"slices"
	"strconv"

	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/transport"
)

// maxResult bounds a run's result in bytes, as the worker pool's.
const maxResult = 64 << 10

// link is one connection to the server that does the work. It has one run at a time.
type link struct {
	orderedset.Position
	runner  *Backend
	conn    transport.Conn
	run     *run
	due     microtime.Time // the run is to have ended
	used    bool           // it has carried a run, so it may have been closed meanwhile
	sent    bool           // the run has left; before that, a lost connection proves that nothing ran
	unsent  []byte         // what is left of the run's body
	status  int
	result  []byte
	scratch []byte
}

// write sends what was appended to l.scratch[:0].
func (l *link) write(packets []byte) {
	l.scratch = packets[:0]
	l.conn.Write(packets)
}

// start starts a run. A kept connection is asked for a sign of life first: what is sent on one that was closed
// meanwhile could not be told from what ran.
func (l *link) start(q *run) {
	l.run, q.link, l.sent, l.status, l.result = q, l, false, 0, nil
	l.due = l.runner.loop.Now() + l.runner.config.RunTimeout
	if l.used {
		l.write(ajp.AppendCPing(l.scratch[:0]))
	} else {
		l.send()
	}
}

func (l *link) send() {
	l.used, l.sent = true, true
	cfg, q := l.runner.config, l.run
	out := ajp.AppendForwardRequest(l.scratch[:0], ajp.Request{
		Method: "POST", URI: cfg.BackendPath + "/" + q.Class, RemoteAddr: "127.0.0.1", Secret: cfg.BackendSecret,
		Headers: []ajp.Header{{Name: "content-length", Value: strconv.Itoa(len(q.Body))},
			{Name: frontend.HeaderPrefix + "Class", Value: q.Class}, {Name: frontend.HeaderPrefix + "Id", Value: q.ID}},
	})
	if l.unsent = q.Body; len(q.Body) > 0 {
		out, l.unsent = ajp.AppendBodyChunk(out, q.Body)
	}
	l.write(out)
}

// end tells the core of the run's end.
func (l *link) end(end dispatch.RunOutcome, result []byte) {
	q := l.run
	l.run, l.unsent, l.result = nil, nil, nil
	l.runner.finish(q, end, result)
}

// Receive is part of transport.Session.
func (l *link) Receive(in []byte) (int, error) {
	n := 0
	for {
		payload, size, err := ajp.SplitPacket(in[n:], ajp.FromContainer)
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		response, err := ajp.ParseResponse(payload)
		if err != nil {
			return n, err
		}
		if l.run == nil {
			return n, fmt.Errorf("%w: code %d with no request in hand", ajp.ErrInvalidPacket, response.Code)
		}
		if err := l.take(response); err != nil {
			return n, err
		}
	}
}

func (l *link) take(response ajp.Response) error {
	switch response.Code {
	case ajp.CodeCPong:
		if !l.sent {
			l.send()
		}
	case ajp.CodeGetBodyChunk:
		var out []byte
		out, l.unsent = ajp.AppendBodyChunk(l.scratch[:0], l.unsent)
		l.write(out)
	case ajp.CodeSendHeaders:
		l.status = response.Status
	case ajp.CodeSendBodyChunk:
		if len(l.result)+len(response.BodyChunk) > maxResult {
			return fmt.Errorf("%w: a result of over %d bytes", ajp.ErrInvalidPacket, maxResult)
		}
		l.result = append(l.result, response.BodyChunk...)
	case ajp.CodeEndResponse:
		l.ended(response.Reuse)
	}
	return nil
}

// ended says that the response is whole. The connection is kept if the server offers it again.
func (l *link) ended(reuse bool) {
	if l.status >= 200 && l.status < 300 {
		l.end(dispatch.RunSucceeded, l.result)
	} else {
		l.end(dispatch.RunFailed, nil)
	}
	if !reuse {
		l.conn.Close()
		return
	}
	l.runner.idle = append(l.runner.idle, l)
	l.runner.feed()
}

// Idle is part of transport.Session.
func (l *link) Idle() bool { return l.run == nil }

// Closed is part of transport.Session.
func (l *link) Closed() {
	r := l.runner
	r.links.Remove(l)
	if i := slices.Index(r.idle, l); i >= 0 {
		r.idle = slices.Delete(r.idle, i, i+1)
	}
	if q := l.run; q != nil {
		if l.sent { // it may have run: never sent again
			l.end(dispatch.RunFailed, nil)
		} else {
			l.run, q.link = nil, nil
			r.queue = slices.Insert(r.queue, 0, q)
		}
	}
	r.feed()
}
