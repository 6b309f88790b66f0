package config

import "time"

// Store is the file store.toml: the database that records the executions of idempotency keys.
type Store struct {
	Driver  string // empty: there is no database
	DSN     string
	Timeout time.Duration // of each operation on the database
}

// The names of the database drivers.
const (
	driverSQLite   = "sqlite"
	driverPostgres = "postgres"
)

// The defaults and limits of store.toml.
const (
	defaultStoreTimeoutMS = 1000
	maxStoreTimeoutMS     = 60_000
)

type storeFile struct {
	Driver    string `toml:"driver"`
	DSN       string `toml:"dsn"`
	TimeoutMS *int   `toml:"timeout_ms"`
}

func parseStore(text []byte) (Store, error) {
	const in inFile = storeFileName
	var file storeFile
	if err := in.decode(text, &file); err != nil {
		return Store{}, err
	}
	cfg := Store{Driver: file.Driver, DSN: file.DSN, Timeout: defaultStoreTimeoutMS * time.Millisecond}
	switch cfg.Driver {
	case "":
		return cfg, nil
	case driverSQLite, driverPostgres:
	default:
		return cfg, in.errorf("driver", "%q is neither sqlite nor postgres", cfg.Driver)
	}
	if cfg.DSN == "" {
		return cfg, &KeyError{File: string(in), Key: "dsn", Err: errMissing}
	}
	timeoutMS := defaultStoreTimeoutMS
	if err := in.readInt("timeout_ms", file.TimeoutMS, maxStoreTimeoutMS, &timeoutMS); err != nil {
		return cfg, err
	}
	cfg.Timeout = time.Duration(timeoutMS) * time.Millisecond
	return cfg, nil
}
