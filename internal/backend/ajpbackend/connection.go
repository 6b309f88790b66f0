package ajpbackend

import (
	"fmt"
	"strconv"

	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/transport"
)

const (
	// maxResult is the most bytes of a run's result. The limit of the worker pool is the same.
	maxResult = 64 << 10
	// remoteAddr is sent to the server as the caller's address, because runs have none of their own.
	remoteAddr = "127.0.0.1"
)

// The headers of a run's request, besides the length of its body.
const (
	headerClass = frontend.HeaderPrefix + "Class"
	headerRunID = frontend.HeaderPrefix + "Id"
)

// connection is one connection to the server. It has one run at a time.
type connection struct {
	orderedset.Position
	backend  *Backend
	conn     transport.Conn
	run      *run           // nil: it is idle
	deadline microtime.Time // of the run
	used     bool           // it has carried a run before, so the server may have closed it since
	sent     bool           // the run was sent; while false, a lost connection proves that it did not run
	unsent   []byte         // the rest of the run's body
	status   int
	result   []byte
	scratch  []byte // reused by each message that is written
}

// write sends packets that were appended to c.scratch[:0].
func (c *connection) write(packets []byte) {
	c.scratch = packets[:0]
	c.conn.Write(packets)
}

// start assigns a run to the connection. A reused connection is pinged first: the server may have closed it meanwhile,
// and then it would be unknown whether a run that was sent on it ran.
func (c *connection) start(r *run) {
	c.run = r
	r.connection = c
	c.sent = false
	c.status = 0
	c.result = nil
	c.deadline = c.backend.loop.Now() + c.backend.config.RunTimeout
	if c.used {
		c.write(ajp.AppendCPing(c.scratch[:0]))
	} else {
		c.send()
	}
}

// send sends the run's request with the first part of its body.
func (c *connection) send() {
	c.used = true
	c.sent = true
	cfg, started := c.backend.config, c.run
	out := ajp.AppendForwardRequest(c.scratch[:0], ajp.Request{
		Method:     "POST",
		URI:        cfg.BackendPath + "/" + started.Class,
		RemoteAddr: remoteAddr,
		Secret:     cfg.BackendSecret,
		Headers: []ajp.Header{
			{Name: "content-length", Value: strconv.Itoa(len(started.Body))},
			{Name: headerClass, Value: started.Class},
			{Name: headerRunID, Value: started.ID},
		},
	})
	c.unsent = started.Body
	if len(started.Body) > 0 {
		out, c.unsent = ajp.AppendBodyChunk(out, started.Body)
	}
	c.write(out)
}

// finish detaches the run from the connection and reports its end.
func (c *connection) finish(outcome dispatch.RunOutcome, result []byte) {
	r := c.run
	c.run, c.unsent, c.result = nil, nil, nil
	c.backend.finish(r, outcome, result)
}

// Receive is part of transport.Session.
func (c *connection) Receive(in []byte) (int, error) {
	consumed := 0
	for {
		payload, size, err := ajp.SplitPacket(in[consumed:], ajp.FromContainer)
		if err != nil || payload == nil {
			return consumed, err
		}
		consumed += size
		response, err := ajp.ParseResponse(payload)
		if err != nil {
			return consumed, err
		}
		if c.run == nil {
			return consumed, fmt.Errorf("%w: code %d with no request in hand", ajp.ErrInvalidPacket, response.Code)
		}
		if err := c.handle(response); err != nil {
			return consumed, err
		}
	}
}

// handle handles one packet of the response to the run. An error closes the connection.
func (c *connection) handle(response ajp.Response) error {
	switch response.Code {
	case ajp.CodeCPong:
		if !c.sent {
			c.send()
		}
	case ajp.CodeGetBodyChunk:
		var out []byte
		out, c.unsent = ajp.AppendBodyChunk(c.scratch[:0], c.unsent)
		c.write(out)
	case ajp.CodeSendHeaders:
		c.status = response.Status
	case ajp.CodeSendBodyChunk:
		if len(c.result)+len(response.BodyChunk) > maxResult {
			return fmt.Errorf("%w: a result of over %d bytes", ajp.ErrInvalidPacket, maxResult)
		}
		c.result = append(c.result, response.BodyChunk...)
	case ajp.CodeEndResponse:
		c.responseEnded(response.Reuse)
	default: // ParseResponse returns no other
	}
	return nil
}

// responseEnded reports the run's end. The connection is reused if the server allows it.
func (c *connection) responseEnded(reuse bool) {
	if c.status >= 200 && c.status < 300 {
		c.finish(dispatch.RunSucceeded, c.result)
	} else {
		c.finish(dispatch.RunFailed, nil)
	}
	if !reuse {
		c.conn.Close()
		return
	}
	c.backend.idle = append(c.backend.idle, c)
	c.backend.dispatchQueue()
}

// Idle is part of transport.Session.
func (c *connection) Idle() bool { return c.run == nil }

// Closed is part of transport.Session.
func (c *connection) Closed() { c.backend.closed(c) }
