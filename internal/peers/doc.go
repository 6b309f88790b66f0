// Package peers connects this program to other instances of it, on the program's event loop. Links are the connections
// between the log servers of a replication group; package replication owns them and handles their messages. An Exchange
// exchanges gossip about upstream endpoints with other instances; package backend/upstream owns it.
//
// The package batches and sends messages, and detects and reopens links that time out. Packages
// internal/decide/consensus and internal/decide/loadbalancer decide the content of the messages.
package peers
