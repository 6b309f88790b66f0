// Package peers connects this program to other instances of it, on the program's event loop. Links are the connections
// between the log servers of a replication group; package replication owns them and handles their messages. An Exchange
// exchanges gossip about upstream endpoints with other instances; package backend/upstream owns it. The package frames
// and batches messages, detects links that have gone silent, and reopens them. The content of the messages is decided
// by internal/decide/consensus and internal/decide/loadbalancer.
package peers
