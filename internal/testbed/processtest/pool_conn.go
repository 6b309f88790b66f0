package processtest

import (
	"fmt"
	"io"
	"net"

	"pewterline/internal/protocol/pool"
)

// poolReadSize is the buffer size of a read on a connection to a worker pool, in bytes.
const poolReadSize = 64 << 10

// serve executes the commands of a connection until the connection ends, a command is invalid, or the pool is frozen.
func (p *Pool) serve(conn net.Conn) {
	var buffer []byte
	chunk := make([]byte, poolReadSize)
	for {
		command, size, err := pool.ParseCommand(buffer)
		if err != nil {
			// A failure to close needs no handling: the server detects the end of the connection.
			_ = conn.Close()
			return
		}
		if size == 0 {
			n, err := conn.Read(chunk)
			if err != nil {
				return
			}
			buffer = append(buffer, chunk[:n]...)
			continue
		}
		if !p.execute(conn, command) {
			return
		}
		buffer = buffer[size:]
	}
}

// execute executes a command received on a connection. It returns false if the pool is frozen.
func (p *Pool) execute(conn net.Conn, command pool.Command) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.frozen:
		return false
	case command.Verb == pool.Bind:
		p.requestBind(bindRequest{conn: conn, lastNotice: command.Notice})
	case conn == p.boundConn:
		p.executeBound(command)
	}
	return true
}

// executeBound executes a command received on the bound connection.
func (p *Pool) executeBound(command pool.Command) {
	switch command.Verb {
	case pool.Poll:
		sendTo(p.boundConn, fmt.Appendf(nil, "polled %s 0.1 0 0.1 1\r\n", command.Tag))
	case pool.Verify:
		p.checks++
		if p.checkOutcome != 0 {
			sendTo(p.boundConn, pool.AppendVerified(nil, command.Tag, p.checkOutcome))
		}
	case pool.Spawn:
		p.spawn(command)
	case pool.Suspend:
		if run := p.runs[command.ID]; run != nil {
			p.end(run, pool.Killed)
		}
	case pool.Supply:
		p.supply(command)
	default: // execute handles Bind, which is valid on any connection.
	}
}

// requestBind binds a connection at once or, while the pool is disconnected, when Reconnect is called.
func (p *Pool) requestBind(request bindRequest) {
	select {
	case p.binds <- request.lastNotice:
	default: // The buffer is full: no test awaits so many events.
	}
	if p.disconnected {
		p.pendingBind = &request
		return
	}
	p.bind(request)
}

// bind makes a connection the bound one, and sends the notices that the server has not received.
func (p *Pool) bind(request bindRequest) {
	if p.boundConn != nil && p.boundConn != request.conn {
		// A failure to close needs no handling: the server has replaced this connection by the new one.
		_ = p.boundConn.Close()
	}
	p.boundConn = request.conn
	sendTo(p.boundConn, []byte("bound LOADED 60000\r\n"))
	total := uint64(len(p.notices))
	first := min(request.lastNotice, total)
	if total > maxKeptNotices {
		first = max(first, total-maxKeptNotices)
	}
	for _, notice := range p.notices[first:] {
		sendTo(p.boundConn, notice)
	}
}

// sendTo writes to a server's connection. It ignores failures: the goroutine that reads from the connection fails as
// well, and a notice lost with a connection to a worker pool is sent again on the next one.
func sendTo(conn io.Writer, message []byte) {
	_, _ = conn.Write(message)
}
