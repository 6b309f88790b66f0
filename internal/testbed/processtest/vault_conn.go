package processtest

import (
	"errors"
	"net"
	"os"
	"time"

	"pewterline/internal/protocol/vault"
)

const (
	// vaultIdleTimeout is how long the vault keeps a connection without open calls.
	vaultIdleTimeout = 10 * time.Second
	// vaultReadSize is the buffer size of a read on a connection to the vault, in bytes.
	vaultReadSize = 64 << 10
)

// vaultConn is one connection to the vault.
type vaultConn struct {
	number int
	conn   net.Conn
}

// close closes the connection. A failure needs no handling: the server detects the end of the connection.
func (c *vaultConn) close() {
	_ = c.conn.Close()
}

func (v *Vault) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// The connection owns this goroutine, which ends with it.
		go v.serve(v.register(conn))
	}
}

// register assigns a number to a connection and adds it to the open connections.
func (v *Vault) register(conn net.Conn) *vaultConn {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastConn++
	registered := &vaultConn{number: v.lastConn, conn: conn}
	v.conns[registered] = true
	return registered
}

// serve executes the commands of a connection until it ends. The open calls on it then get no reply.
func (v *Vault) serve(served *vaultConn) {
	defer v.remove(served)
	var buffer []byte
	chunk := make([]byte, vaultReadSize)
	for {
		command, size, err := vault.ParseCommand(buffer)
		if err != nil {
			return
		}
		if size > 0 {
			v.execute(served, command)
			buffer = buffer[size:]
			continue
		}
		if served.conn.SetReadDeadline(time.Now().Add(vaultIdleTimeout)) != nil {
			return
		}
		n, err := served.conn.Read(chunk)
		if errors.Is(err, os.ErrDeadlineExceeded) && v.hasOpenCalls(served) {
			continue
		}
		if err != nil {
			return
		}
		buffer = append(buffer, chunk[:n]...)
	}
}

func (v *Vault) remove(c *vaultConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.conns, c)
	for id, call := range v.openCalls {
		if call.conn == c {
			delete(v.openCalls, id)
		}
	}
	c.close()
}

// hasOpenCalls reports whether a call is open on a connection.
func (v *Vault) hasOpenCalls(c *vaultConn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, call := range v.openCalls {
		if call.conn == c {
			return true
		}
	}
	return false
}

func (v *Vault) execute(from *vaultConn, command vault.Command) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if command.Verb == vault.Unask {
		v.abandon(command.ID)
		return
	}
	call := &Call{
		ID:         command.ID,
		Body:       string(command.Body),
		TimeoutMS:  command.WaitMS,
		ConnNumber: from.number,
		vault:      v,
		conn:       from,
	}
	v.calls = append(v.calls, call)
	v.openCalls[call.ID] = call // A second call with the same ID replaces the first.
	select {
	case v.received <- call:
	default: // The buffer is full: no test awaits so many events.
	}
	switch {
	case v.holdsCalls:
	case v.duration > 0:
		time.AfterFunc(v.duration, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.answer(call)
		})
	default:
		v.answer(call)
	}
}

func (v *Vault) abandon(id string) {
	delete(v.openCalls, id)
	select {
	case v.abandoned <- id:
	default: // The buffer is full: no test awaits so many events.
	}
}
