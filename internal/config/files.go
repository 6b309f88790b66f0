package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"strings"

	"github.com/BurntSushi/toml"

	"pewterline/internal/microtime"
)

// The environment variables that name the files.
const (
	envConfig      = "RELAY_CONFIG"
	envAJP         = "RELAY_AJP"
	envStore       = "RELAY_STORE"
	envFleet       = "RELAY_FLEET"
	envReplication = "RELAY_COPIES"
)

// The names of the TOML files in errors.
const (
	ajpFileName         = "ajp.toml"
	storeFileName       = "store.toml"
	fleetFileName       = "fleet.toml"
	replicationFileName = "copies.toml"
)

var errNotSet = errors.New("not set; it names the JSON file")

// sources are the texts of all files. The text of a TOML file is nil if there is no file.
type sources struct {
	json        []byte
	ajp         []byte
	store       []byte
	fleet       []byte
	replication []byte
}

// optionalFile is a TOML file. It may be missing, unless the environment names it.
type optionalFile struct {
	variable    string // the environment variable that names the file
	defaultPath string
	text        func(*sources) *[]byte // where the file's text is stored
	check       func(text []byte) error
}

// optionalFiles returns the TOML files in the order in which they are read.
func optionalFiles() []optionalFile {
	return []optionalFile{
		{envAJP, "deploy/ajp.toml", func(s *sources) *[]byte { return &s.ajp },
			func(text []byte) error { _, err := parseAJP(text); return err }},
		{envStore, "deploy/store.toml", func(s *sources) *[]byte { return &s.store },
			func(text []byte) error { _, err := parseStore(text); return err }},
		{envFleet, "deploy/fleet.toml", func(s *sources) *[]byte { return &s.fleet },
			func(text []byte) error { _, err := parseFleet(text); return err }},
		{envReplication, "deploy/copies.toml", func(s *sources) *[]byte { return &s.replication },
			func(text []byte) error { _, err := parseReplication(text); return err }},
	}
}

// path returns the path of the file.
func (f optionalFile) path(getenv func(string) string) string {
	return orDefault(getenv(f.variable), f.defaultPath)
}

// read returns the file's text. It returns nil if there is no file and the environment names none.
func (f optionalFile) read(getenv func(string) string) ([]byte, error) {
	text, err := os.ReadFile(f.path(getenv))
	if errors.Is(err, fs.ErrNotExist) && getenv(f.variable) == "" {
		return nil, nil
	}
	if err != nil {
		return nil, &KeyError{Key: f.variable, Err: err}
	}
	return text, nil
}

// readJSON returns the text of the JSON file, which must exist.
func readJSON(getenv func(string) string) ([]byte, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, &KeyError{Key: envConfig, Err: errNotSet}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Key: envConfig, Err: err}
	}
	return text, nil
}

// Load reads the configuration files that the environment names. Errors are of type *KeyError; for some errors in the
// settings its Key is empty.
func Load(getenv func(string) string) (Config, error) {
	var texts sources
	var err error
	if texts.json, err = readJSON(getenv); err != nil {
		return Config{}, err
	}
	for _, file := range optionalFiles() {
		if *file.text(&texts), err = file.read(getenv); err != nil {
			return Config{}, err
		}
	}
	return parse(texts, getenv)
}

// FileError is the first error in one file.
type FileError struct {
	File string // the path in the environment, or the default path
	Err  error
}

// Error implements error.
func (e FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap is for errors.Is and errors.As.
func (e FileError) Unwrap() error { return e.Err }

// ValidateFiles checks each file by itself, and then whether the files are consistent with each other. It returns the
// first error of each file.
func ValidateFiles(getenv func(string) string) (fileErrors []FileError) {
	var texts sources
	for _, file := range optionalFiles() {
		text, err := file.read(getenv)
		if err == nil {
			err = file.check(text)
		}
		if err != nil {
			fileErrors = append(fileErrors, FileError{File: file.path(getenv), Err: err})
			continue
		}
		*file.text(&texts) = text
	}
	var err error
	if texts.json, err = readJSON(getenv); err == nil {
		_, err = parse(texts, getenv) // without the TOML files that are invalid by themselves
	}
	if err != nil {
		fileErrors = append(fileErrors, FileError{File: orDefault(getenv(envConfig), envConfig), Err: err})
	}
	return fileErrors
}

// KeyError is the error of one key of one file, or of an environment variable.
type KeyError struct {
	File string // name of a TOML file; empty: the JSON file or the environment
	Key  string // path of the key, or name of the variable; empty: the file as a whole
	Err  error
}

// Error implements error.
func (e *KeyError) Error() string {
	var text strings.Builder
	text.WriteString("config: ")
	for _, part := range []string{e.File, e.Key} {
		if part != "" {
			text.WriteString(part + ": ")
		}
	}
	text.WriteString(e.Err.Error())
	return text.String()
}

// Unwrap is for errors.Is and errors.As.
func (e *KeyError) Unwrap() error { return e.Err }

// inFile is the name of the checked file in errors; empty: the JSON file. Its methods check values of that file.
type inFile string

func (f inFile) errorf(key, format string, args ...any) error {
	return &KeyError{File: string(f), Key: key, Err: fmt.Errorf(format, args...)}
}

// decode decodes a TOML file. A key without a matching struct field is an error.
func (f inFile) decode(text []byte, into any) error {
	meta, err := toml.Decode(string(text), into)
	if err != nil {
		return &KeyError{File: string(f), Err: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return f.errorf(unknown[0].String(), "unknown key")
	}
	return nil
}

var errMissing = errors.New("missing")

// checkAddress checks an address that must not be empty.
func (f inFile) checkAddress(key, address string) error {
	if address == "" {
		return &KeyError{File: string(f), Key: key, Err: errMissing}
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return f.errorf(key, "%q is not an address and port", address)
	}
	return nil
}

// checkOptionalAddress checks an address that may be empty.
func (f inFile) checkOptionalAddress(key, address string) error {
	if address == "" {
		return nil
	}
	return f.checkAddress(key, address)
}

// readInt stores a number from the file, which must be within 1 to limit, in into. If the file does not have the key,
// value is nil and into stays unchanged.
func (f inFile) readInt(key string, value *int, limit int, into *int) error {
	if value == nil {
		return nil
	}
	if *value < 1 || *value > limit {
		return f.errorf(key, "%d is not within 1 to %d", *value, limit)
	}
	*into = *value
	return nil
}

// isWord reports whether text is one word without white space, as is required of names.
func isWord(text string) bool { return text != "" && !strings.ContainsAny(text, " \r\n\t") }

func milliseconds(n int) microtime.Time { return microtime.Time(n) * microtime.Millisecond }

func orDefault(text, fallback string) string {
	if text != "" {
		return text
	}
	return fallback
}
