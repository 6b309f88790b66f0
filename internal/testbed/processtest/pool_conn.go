package processtest

import (
	"fmt"
	"io"
	"net"

	"pewterline/internal/protocol/pool"
)

// poolReadSize is the size of a read on a connection to a worker pool.
const poolReadSize = 64 << 10

// serve carries out the commands of a connection until it ends, breaks the protocol, or the pool is frozen.
func (p *Pool) serve(conn net.Conn) {
	var buffer []byte
	chunk := make([]byte, poolReadSize)
	for {
		command, size, err := pool.ParseCommand(buffer)
		if err != nil {
			// The server sees the end of the connection however it ends.
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

// execute carries out a command that came on a connection; false: the pool is frozen.
func (p *Pool) execute(conn net.Conn, command pool.Command) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.frozen:
		return false
	case command.Verb == pool.Bind:
		p.requestBind(bindRequest{conn: conn, lastNotice: command.Notice})
	case conn == p.bound:
		p.executeBound(command)
	}
	return true
}

// executeBound carries out a command that came on the bound connection.
func (p *Pool) executeBound(command pool.Command) {
	switch command.Verb {
	case pool.Poll:
		sendTo(p.bound, fmt.Appendf(nil, "polled %s 0.1 0 0.1 1\r\n", command.Tag))
	case pool.Verify:
		p.checks++
		if p.checkOutcome != 0 {
			sendTo(p.bound, pool.AppendVerified(nil, command.Tag, p.checkOutcome))
		}
	case pool.Spawn:
		p.spawn(command)
	case pool.Suspend:
		if run := p.runs[command.ID]; run != nil {
			p.end(run, pool.Killed)
		}
	case pool.Supply:
		p.supply(command)
	default: // Bind is carried out on any connection.
	}
}

// requestBind binds a connection, now or once the pool is connected again.
func (p *Pool) requestBind(request bindRequest) {
	select {
	case p.binds <- request.lastNotice:
	default: // No test waits for so many.
	}
	if p.disconnected {
		p.unbound = &request
		return
	}
	p.bind(request)
}

// bind has the pool use a connection, and sends it the notices that the server has missed.
func (p *Pool) bind(request bindRequest) {
	if p.bound != nil && p.bound != request.conn {
		// The server has given up this connection for the new one.
		_ = p.bound.Close()
	}
	p.bound = request.conn
	sendTo(p.bound, []byte("bound LOADED 60000\r\n"))
	total := uint64(len(p.notices))
	first := min(request.lastNotice, total)
	if total > maxKeptNotices {
		first = max(first, total-maxKeptNotices)
	}
	for _, notice := range p.notices[first:] {
		sendTo(p.bound, notice)
	}
}

// sendTo writes to a server's connection. A failure is left to whoever reads from it, whose next read fails as well; a
// notice that is lost with a connection to a worker pool is sent again on the next one.
func sendTo(conn io.Writer, message []byte) {
	_, _ = conn.Write(message)
}
