// Package config reads the configuration files, checks them and fills in defaults. Command pewterline calls Load at the
// start and on a reload, and passes the result to the server. Its check command calls ValidateFiles. It is the only
// package that knows the files' keys and the environment variables. Each error names the key in question. It opens no
// sockets and keeps nothing between calls.
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
	VaultAddress    string // of the vault that runs call; empty only if they make no calls
	ControlAddress  string // where load reports are sent; empty: none are
	AdminAddress    string // where the operators' listener is; empty: there is none
	ShutdownTimeout microtime.Time
	MemoryLimit     int64          // in bytes
	SocketLimit     int            // in descriptors
	Document        map[string]any // the decoded JSON file, for RequireKeysOf
	Settings        control.Settings
	Gauges          []string // of the worker pool, in their order
	AJP             AJP
	Store           Store
	Fleet           Fleet
	Replication     Replication
}
