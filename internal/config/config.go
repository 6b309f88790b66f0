// Package config reads the configuration files, checks them and fills in defaults. The command line calls Load at the
// start and on a reload, and ValidateFiles for its check of all files; the server is handed the result.
//
// It is the one place that knows the files' keys and the environment's variables. Each error names the faulty key. It
// opens no sockets and keeps nothing between calls.
package config

import (
	"pewterline/control"
	"pewterline/internal/microtime"
)

// Config is all that the program is told by its files and its environment.
type Config struct {
	Name            string // of this server
	Listen          string // where proxies connect
	PoolAddress     string // of the worker pool; empty only where something else does the work
	VaultAddress    string // of the vault that runs call; may be empty where they call nothing
	ControlAddress  string // where reports go; empty: there are none
	AdminAddress    string // where operators call; empty: nowhere
	ShutdownTimeout microtime.Time
	MemoryLimit     int64          // in bytes
	SocketLimit     int            // in descriptors
	Document        map[string]any // the JSON file as it was, for RequireKeysOf
	Settings        control.Settings
	Gauges          []string // of the worker pool, in their order
	AJP             AJP
	Store           Store
	Fleet           Fleet
	Replication     Replication
}
