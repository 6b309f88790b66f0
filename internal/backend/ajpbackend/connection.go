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
	// maxResult is the maximum size of a run's result in bytes. The worker pool has the same limit.
	maxResult = 64 << 10
	// remoteAddr is sent to the server as the caller's address, because a run has no address of its own.
	remoteAddr = "127.0.0.1"
)

// The headers of a run's request other than content-length.
const (
	headerClass = frontend.HeaderPrefix + "Class"
	headerRunID = frontend.HeaderPrefix + "Id"
)

// connection is one connection to the server. It carries one run at a time. It implements transport.Session.
type connection struct {
	orderedset.Position
	backend    *Backend
	conn       transport.Conn
	run        *run           // nil: the connection is idle
	deadline   microtime.Time // of the run
	used       bool           // a run was sent on it before, so the server may have closed it since
	sent       bool           // the run was sent; while false, a lost connection proves that it was not executed
	unsentBody []byte         // the part of the run's body that has not been sent yet
	status     int            // of the response
	result     []byte         // the part of the response's body received so far
	scratch    []byte         // the write buffer, reused for each message
}

// write sends packets that were appended to c.scratch[:0], and keeps their buffer for reuse.
func (c *connection) write(packets []byte) {
	c.scratch = packets[:0]
	c.conn.Write(packets)
}

// start assigns a run to the connection. A reused connection is pinged before the run is sent: the server may have
// closed it meanwhile, and it would then be unknown whether the server executed the run.
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
	c.unsentBody = started.Body
	if len(started.Body) > 0 {
		out, c.unsentBody = ajp.AppendBodyChunk(out, started.Body)
	}
	c.write(out)
}

// finish detaches the run from the connection and reports its end.
func (c *connection) finish(outcome dispatch.RunOutcome, result []byte) {
	r := c.run
	c.run, c.unsentBody, c.result = nil, nil, nil
	c.backend.finish(r, outcome, result)
}

// Receive implements transport.Session.
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
			return consumed, fmt.Errorf("%w: code %d with no request in progress", ajp.ErrInvalidPacket, response.Code)
		}
		if err := c.handle(response); err != nil {
			return consumed, err
		}
	}
}

// handle handles one packet of the response to the run. After an error the caller closes the connection.
func (c *connection) handle(response ajp.Response) error {
	switch response.Code {
	case ajp.CodeCPong:
		if !c.sent {
			c.send()
		}
	case ajp.CodeGetBodyChunk:
		var out []byte
		out, c.unsentBody = ajp.AppendBodyChunk(c.scratch[:0], c.unsentBody)
		c.write(out)
	case ajp.CodeSendHeaders:
		c.status = response.Status
	case ajp.CodeSendBodyChunk:
		if len(c.result)+len(response.BodyChunk) > maxResult {
			return fmt.Errorf("%w: result exceeds %d bytes", ajp.ErrInvalidPacket, maxResult)
		}
		c.result = append(c.result, response.BodyChunk...)
	case ajp.CodeEndResponse:
		c.responseEnded(response.Reuse)
	default: // ParseResponse returns no other code
	}
	return nil
}

// responseEnded reports the end of the run. The connection is reused if the server allows it.
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

// Idle implements transport.Session.
func (c *connection) Idle() bool { return c.run == nil }

// Closed implements transport.Session.
func (c *connection) Closed() { c.backend.closed(c) }
