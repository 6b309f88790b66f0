package config

import (
	"encoding/json"
	"errors"
	"strconv"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/settings"
)

// The environment variables that take precedence over the JSON file's keys.
const (
	envName   = "RELAY_NAME"
	envListen = "RELAY_LISTEN"
	envAdmin  = "RELAY_ADMIN"
)

// The defaults and limits of the JSON file.
const (
	defaultShutdownTimeoutMS = 3200
	maxShutdownTimeoutMS     = 3600e3
	defaultMemoryMB          = 192
	minMemoryMB              = 32
	maxMemoryMB              = 1 << 20
	defaultSockets           = 1024
	minSockets               = 64
	bytesPerMB               = 1 << 20
)

// inJSON checks values of the JSON file. Errors in it do not name the file.
const inJSON inFile = ""

type jsonFile struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Pool     string          `json:"pool"`
	Vault    string          `json:"vault"`
	Control  string          `json:"control"`
	Admin    string          `json:"admin"`
	Seed     string          `json:"seed"`
	StopMS   *float64        `json:"stop_ms"`
	Limits   jsonLimits      `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

type jsonLimits struct {
	MemoryMB *float64 `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// parse parses and checks the files. The name and the addresses in the environment take precedence over those in the
// JSON file.
func parse(texts sources, getenv func(string) string) (Config, error) {
	var file jsonFile
	var document map[string]any
	if err := decodeJSON(texts.json, &file); err != nil {
		return Config{}, err
	}
	if err := decodeJSON(texts.json, &document); err != nil {
		return Config{}, err
	}
	cfg := Config{
		Name:            orDefault(getenv(envName), file.Name),
		Listen:          orDefault(getenv(envListen), file.Listen),
		PoolAddress:     file.Pool,
		VaultAddress:    file.Vault,
		ControlAddress:  file.Control,
		AdminAddress:    orDefault(getenv(envAdmin), file.Admin),
		ShutdownTimeout: defaultShutdownTimeoutMS * microtime.Millisecond,
		MemoryLimit:     defaultMemoryMB * bytesPerMB,
		SocketLimit:     defaultSockets,
		Document:        document,
	}
	for _, step := range []func() error{
		func() error { return cfg.parseOptional(texts) },
		cfg.checkExclusive,
		cfg.checkNameAndAddresses,
		func() error { return cfg.readLimits(file) },
		func() error { return cfg.readSettings(file) },
		cfg.checkCalls,
		func() error { return checkClasses(cfg.Settings) },
	} {
		if err := step(); err != nil {
			return cfg, err
		}
	}
	return cfg, nil
}

func decodeJSON(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType):
		return inJSON.errorf(wrongType.Field, "unexpected type %s", wrongType.Value)
	default:
		return &KeyError{Key: envConfig, Err: err}
	}
}

// parseOptional reads the TOML files.
func (c *Config) parseOptional(texts sources) (err error) {
	if c.AJP, err = parseAJP(texts.ajp); err != nil {
		return err
	}
	if c.Store, err = parseStore(texts.store); err != nil {
		return err
	}
	if c.Fleet, err = parseFleet(texts.fleet); err != nil {
		return err
	}
	c.Replication, err = parseReplication(texts.replication)
	return err
}

var (
	errTwoStores   = errors.New("store.toml names a store of record as well; executions can be recorded in only one")
	errTwoBackends = errors.New("ajp.toml names a runner as well; only one backend can run requests")
)

// checkExclusive checks that at most one file configures where executions are recorded, and that at most one file
// configures a backend in place of the worker pool.
func (c *Config) checkExclusive() error {
	if c.Replication.ServerID != 0 && c.Store.Driver != "" {
		return &KeyError{File: replicationFileName, Key: "id", Err: errTwoStores}
	}
	if len(c.Fleet.Members) > 0 && c.AJP.BackendAddress != "" {
		return &KeyError{File: fleetFileName, Key: "server", Err: errTwoBackends}
	}
	return nil
}

func (c *Config) checkNameAndAddresses() error {
	if !isWord(c.Name) {
		return inJSON.errorf("name", "%q is not one word", c.Name)
	}
	if err := inJSON.checkAddress("listen", c.Listen); err != nil {
		return err
	}
	checkPool := inJSON.checkOptionalAddress
	if c.AJP.BackendAddress == "" && len(c.Fleet.Members) == 0 {
		checkPool = inJSON.checkAddress
	}
	if err := checkPool("pool", c.PoolAddress); err != nil {
		return err
	}
	if err := inJSON.checkOptionalAddress("vault", c.VaultAddress); err != nil {
		return err
	}
	if err := inJSON.checkOptionalAddress("control", c.ControlAddress); err != nil {
		return err
	}
	return inJSON.checkOptionalAddress("admin", c.AdminAddress)
}

// readLimits reads the shutdown timeout and the limits on memory and sockets.
func (c *Config) readLimits(file jsonFile) error {
	if ms := file.StopMS; ms != nil {
		if !(*ms > 0 && *ms <= maxShutdownTimeoutMS) {
			return inJSON.errorf("stop_ms", "%v is not within 0 to an hour", *ms)
		}
		c.ShutdownTimeout = microtime.Time(*ms * 1000)
	}
	if mb := file.Limits.MemoryMB; mb != nil {
		if !(*mb >= minMemoryMB && *mb <= maxMemoryMB) {
			return inJSON.errorf("limits.memory_mb", "%v is not within %d to %d", *mb, minMemoryMB, maxMemoryMB)
		}
		c.MemoryLimit = int64(*mb * bytesPerMB)
	}
	if n := file.Limits.Sockets; n != nil {
		if *n < minSockets {
			return inJSON.errorf("limits.sockets", "%d is under %d", *n, minSockets)
		}
		c.SocketLimit = *n
	}
	return nil
}

// readSettings reads the platform's settings and the seed of the random numbers.
func (c *Config) readSettings(file jsonFile) error {
	var seed uint64
	var err error
	if file.Seed != "" {
		if seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return inJSON.errorf("seed", "%q is not 16 hex digits", file.Seed)
		}
	}
	if len(file.Settings) == 0 {
		return &KeyError{Key: "settings", Err: errMissing}
	}
	if c.Settings, c.Gauges, err = settings.Parse(file.Settings, seed); err != nil {
		return &KeyError{Err: err}
	}
	if c.Settings.Cores <= 0 {
		return inJSON.errorf("settings.extra.cores", "%d is not over 0", c.Settings.Cores)
	}
	return nil
}

var (
	errCallsNeedPoolNotAJP = errors.New("calls need the worker pool to do the work, " +
		"and ajp.toml: runner.address names a server in its place")
	errCallsNeedPoolNotFleet = errors.New("calls need the worker pool to do the work, " +
		"and fleet.toml: server names others in its place")
	errCallsNeedVault = errors.New("missing; settings.extra.downstream says that runs call it")
)

// checkCalls checks that runs can make downstream calls if the settings declare them.
func (c *Config) checkCalls() error {
	const key = "settings.extra.downstream"
	switch {
	case c.Settings.Dependency == control.DependencyNone:
		return nil
	case c.AJP.BackendAddress != "":
		return &KeyError{Key: key, Err: errCallsNeedPoolNotAJP}
	case len(c.Fleet.Members) > 0:
		return &KeyError{Key: key, Err: errCallsNeedPoolNotFleet}
	case c.VaultAddress == "":
		return &KeyError{Key: "vault", Err: errCallsNeedVault}
	default:
		return nil
	}
}
