package config

import (
	"strings"

	"pewterline/internal/microtime"
)

// AJP is the file ajp.toml: the frontend for web servers, and the AJP server that runs requests in place of the worker
// pool.
type AJP struct {
	Listen             string         // empty: there is no frontend
	Secret             string         // that web servers must send; empty: none
	BodyTimeout        microtime.Time // how long a web server may take to send a body
	MaxBody            int            // in bytes
	MaxConnections     int            // of web servers; they count against Config.SocketLimit
	BackendAddress     string         // empty: requests do not run on an AJP server
	BackendSecret      string
	BackendPath        string
	BackendConnections int
}

// The defaults and limits of ajp.toml.
const (
	defaultBodyTimeoutMS      = 2000
	maxBodyTimeoutMS          = 60_000
	defaultMaxBody            = 2 << 10
	maxMaxBody                = 1 << 20
	defaultMaxConnections     = 128
	maxMaxConnections         = 512
	defaultBackendPath        = "/run"
	defaultBackendConnections = 32
	maxBackendConnections     = 256
)

type ajpFile struct {
	Front struct {
		Listen    string `toml:"listen"`
		Secret    string `toml:"secret"`
		BodyMS    *int   `toml:"body_timeout_ms"`
		BodyBytes *int   `toml:"max_body_bytes"`
		MaxConns  *int   `toml:"max_connections"`
	} `toml:"front"`
	Runner struct {
		Address     string `toml:"address"`
		Secret      string `toml:"secret"`
		Path        string `toml:"path"`
		Connections *int   `toml:"connections"`
	} `toml:"runner"`
}

func parseAJP(text []byte) (AJP, error) {
	const in inFile = ajpFileName
	var file ajpFile
	if err := in.decode(text, &file); err != nil {
		return AJP{}, err
	}
	front, runner := file.Front, file.Runner
	cfg := AJP{
		Listen:             front.Listen,
		Secret:             front.Secret,
		MaxBody:            defaultMaxBody,
		MaxConnections:     defaultMaxConnections,
		BackendAddress:     runner.Address,
		BackendSecret:      runner.Secret,
		BackendPath:        orDefault(runner.Path, defaultBackendPath),
		BackendConnections: defaultBackendConnections,
	}
	bodyTimeoutMS := defaultBodyTimeoutMS
	for _, check := range []func() error{
		func() error { return in.checkOptionalAddress("front.listen", cfg.Listen) },
		func() error { return in.checkOptionalAddress("runner.address", cfg.BackendAddress) },
		func() error {
			return in.readInt("front.body_timeout_ms", front.BodyMS, maxBodyTimeoutMS, &bodyTimeoutMS)
		},
		func() error { return in.readInt("front.max_body_bytes", front.BodyBytes, maxMaxBody, &cfg.MaxBody) },
		func() error {
			return in.readInt("front.max_connections", front.MaxConns, maxMaxConnections, &cfg.MaxConnections)
		},
		func() error {
			return in.readInt("runner.connections", runner.Connections, maxBackendConnections, &cfg.BackendConnections)
		},
	} {
		if err := check(); err != nil {
			return cfg, err
		}
	}
	cfg.BodyTimeout = milliseconds(bodyTimeoutMS)
	if !strings.HasPrefix(cfg.BackendPath, "/") {
		return cfg, in.errorf("runner.path", "%q does not start with /", cfg.BackendPath)
	}
	return cfg, nil
}
