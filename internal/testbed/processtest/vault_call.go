package processtest

import (
	"errors"
	"fmt"
	"net"
	"time"

	"pewterline/internal/protocol/vault"
)

// closeInterval is the pause between two looks whether the server has closed a connection.
const closeInterval = time.Millisecond

// Call is one call that the vault was asked for.
type Call struct {
	ID        string
	Body      string
	TimeoutMS int          // how long the server waits
	Conn      int          // the number of its connection
	Status    vault.Status // of the reply; 0: none. To be read of copies that Vault.Calls returns

	vault *Vault
	conn  *vaultConn
}

// Reply answers a call on its connection, even one that was given up: such a reply has crossed the end of its call.
func (c *Call) Reply(status vault.Status, body string) {
	c.vault.mu.Lock()
	defer c.vault.mu.Unlock()
	c.vault.reply(c, status, body)
}

// BreakReply breaks the connection of a call in the middle of its reply.
func (c *Call) BreakReply() {
	// The reply goes without the end of its body and its line end.
	const missing = 3
	c.vault.mu.Lock()
	defer c.vault.mu.Unlock()
	reply := vault.AppendReply(nil, c.ID, vault.Yes, []byte(c.Body))
	sendTo(c.conn.conn, reply[:len(reply)-missing])
	c.conn.close()
}

// CloseConn closes the connection of a call, and returns once the server has closed it as well: all that was sent on it
// has been read by then.
func (c *Call) CloseConn() error {
	tcp, ok := c.conn.conn.(*net.TCPConn)
	if !ok {
		return errors.New("processtest: close a connection to the vault: it is no TCP connection")
	}
	if err := tcp.CloseWrite(); err != nil {
		return err
	}
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(closeInterval) {
		if !c.vault.connected(c.conn) {
			return nil
		}
	}
	return fmt.Errorf("processtest: await the server to close a connection that the vault has closed: %w", ErrTimeout)
}

// connected reports whether a connection has not ended.
func (v *Vault) connected(c *vaultConn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.conns[c]
}
