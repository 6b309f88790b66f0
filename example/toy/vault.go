package main

import (
	"log"
	"net"

	"pewterline/internal/protocol/vault"
)

// serveVault answers each call on a connection at once, with the body of the call.
func serveVault(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is left to write
	err := readMessages(conn, func(received []byte) (int, error) {
		command, size, err := vault.ParseCommand(received)
		if size == 0 || command.Verb != vault.Ask {
			return size, err
		}
		log.Printf("call for %s, which waits %d ms", command.ID, command.WaitMS)
		reply := append([]byte("kept "), command.Body...)
		if _, err := conn.Write(vault.AppendReply(nil, command.ID, vault.Yes, reply)); err != nil {
			return 0, err
		}
		return size, nil
	})
	log.Printf("connection to the vault ended: %v", err)
}
