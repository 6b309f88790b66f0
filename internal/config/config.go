// Package config reads and checks the configuration files and fills in defaults. Command pewterline calls Load at the
// start and on a reload, and passes the result to the server; its check command calls ValidateFiles. This is the only
// package that uses the files' keys and the environment variables. Each error names the key in question. The package
// opens no sockets and keeps no state between calls.
package config

import (
	"pewterline/control"
	"pewterline/internal/microtime"
)

// Config is the configuration of the program, from its files and its environment.
type Config struct {
	Name            string // of this server
	Listen          string // where proxies connect
	PoolAddress     string // of the worker pool; empty only if requests run elsewhere
	VaultAddress    string // of the vault that runs call; empty only if runs make no calls
	ControlAddress  string // where load reports are sent; empty: none are sent
	AdminAddress    string // where operators connect; empty: there is no listener for them
	ShutdownTimeout microtime.Time
	MemoryLimit     int64          // in bytes
	SocketLimit     int            // in descriptors
	Document        map[string]any // the decoded JSON file, for RequireKeysOf
	Settings        control.Settings
	Gauges          []string // names of the worker pool's gauges, in their order
	AJP             AJP
	Store           Store
	Fleet           Fleet
	Replication     Replication
}
