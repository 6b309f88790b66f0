package processtest

import (
	"errors"
	"fmt"
	"net"
	"time"

	"pewterline/internal/protocol/vault"
)

// closePollInterval is the pause between two checks whether the server has closed a connection.
const closePollInterval = time.Millisecond

// Call is one call that the vault has received.
type Call struct {
	ID         string
	Body       string
	TimeoutMS  int          // how long the server waits for the reply
	ConnNumber int          // the number of its connection, from 1
	Status     vault.Status // of the reply; 0: none. Read it only from the copies that Vault.Calls returns

	vault *Vault
	conn  *vaultConn
}

// Reply answers a call on its connection, even after the server has abandoned the call. This simulates a reply that was
// in transit when the server abandoned the call.
func (c *Call) Reply(status vault.Status, body string) {
	c.vault.mu.Lock()
	defer c.vault.mu.Unlock()
	c.vault.reply(c, status, body)
}

// TruncateReply sends only a part of the reply to a call, and closes its connection.
func (c *Call) TruncateReply() {
	// The reply is cut before the last byte of its body and its line end.
	const missing = 3
	c.vault.mu.Lock()
	defer c.vault.mu.Unlock()
	reply := vault.AppendReply(nil, c.ID, vault.Yes, []byte(c.Body))
	sendTo(c.conn.conn, reply[:len(reply)-missing])
	c.conn.close()
}

// CloseConn closes the connection of a call, and returns once the server has closed it as well. By then the server has
// read everything that was sent on the connection.
func (c *Call) CloseConn() error {
	tcp, ok := c.conn.conn.(*net.TCPConn)
	if !ok {
		return errors.New("processtest: close a connection to the vault: not a TCP connection")
	}
	if err := tcp.CloseWrite(); err != nil {
		return err
	}
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); time.Sleep(closePollInterval) {
		if !c.vault.connected(c.conn) {
			return nil
		}
	}
	return fmt.Errorf("processtest: wait for the server to close a connection to the vault: %w", ErrTimeout)
}

// connected reports whether a connection is still open.
func (v *Vault) connected(c *vaultConn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.conns[c]
}
