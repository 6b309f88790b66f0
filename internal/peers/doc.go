// Package peers connects this program to other instances of it, on the program's event loop. Links are the connections
// between the log servers of a replication group; package replication owns them and handles what comes on them. An
// Exchange swaps gossip about upstream endpoints with other edges; package backend/upstream owns it.
//
// The package frames and batches messages, notices links that have gone silent, and opens them anew. It never decides
// what is said: that is up to internal/decide/consensus and internal/decide/loadbalancer.
package peers
