// Package config is the one place where configuration is read, checked and given defaults. Every error names
// the faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"pewterline/control"
	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/settings"
)

// Config is all that the program is told.
type Config struct {
	Name            string
	Listen          string
	PoolAddress     string // empty only where AJP.Runner is set
	VaultAddress    string // where runs call; may be empty where they call nothing
	ControlAddress  string // empty: no reports
	AdminAddress    string // where operators call; empty: nowhere
	ShutdownTimeout microtime.Time
	MemoryLimit     int64 // bytes
	SocketLimit     int
	Document        map[string]any // the JSON file as it was, for Lacks
	Settings        control.Settings
	Gauges          []string // the pool's gauges, in their order
	AJP             AJP
	Store           Store
	Fleet           Fleet
	Copies          Copies
}

// Store is deploy/store.toml.
type Store struct {
	Driver  string // empty: no store of record
	DSN     string
	Timeout time.Duration // of every wait for it
}

// Fleet is deploy/fleet.toml: the log servers that do the work in place of a worker pool.
type Fleet struct {
	Members  []Member // none: the program is a log server itself
	CallerID uint32   // the number by which it makes itself known to them
	// Exchange is where other instances reach this one, and Peers where it reaches them. No file sets them yet: what
	// instances tell each other is to go over TLS alone.
	GossipListen string
	GossipPeers  []string
	LoadBalancer loadbalancer.Config
	Retries      loadbalancer.RetryConfig
}

// Copies is deploy/copies.toml: the group of servers that hold copies of intakes for each other.
type Copies struct {
	ID     uint32 // of this server; 0: off
	Listen string
	Folder string
	Copies int // of a group that is founded here
	Decide consensus.Config
	Peers  []consensus.Member // of the group to be, or where members of it are reached from here
}

// check names what makes no sense.
func (c Copies) check() error {
	if c.Folder == "" {
		return errors.New("folder: missing")
	}
	g := consensus.Membership{ClusterID: 1, Epoch: 1, ReplicationFactor: c.Copies, Current: c.Peers}
	if err := errors.Join(c.Decide.Validate(), g.Validate()); err != nil {
		return err
	}
	if !slices.ContainsFunc(c.Peers, func(p consensus.Member) bool { return p.ID == c.ID }) {
		return fmt.Errorf("member: none has id %d, this server's own", c.ID)
	}
	return nil
}

// Member is one log server of a fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// AJP is deploy/ajp.toml.
type AJP struct {
	Listen             string         // empty: no front
	Secret             string         // empty: none is asked for
	BodyTimeout        microtime.Time // how long a caller may take over a body
	MaxBody            int
	MaxConnections     int    // of the front; they come out of the limit on sockets
	BackendAddress     string // empty: the worker pool does the work
	BackendSecret      string
	BackendPath        string
	BackendConnections int // of the runner
}

// Defaults of what may be left out.
const (
	defaultStopMS      = 3200
	defaultMemoryMB    = 192
	defaultSockets     = 1024
	defaultBodyMS      = 2000
	defaultMaxBody     = 2 << 10
	maxMaxBody         = 1 << 20
	defaultConnections = 32
	defaultMaxConns    = 128
	defaultAJPFile     = "deploy/ajp.toml"
	defaultStoreFile   = "deploy/store.toml"
	defaultStoreMS     = 1000
	defaultFleetFile   = "deploy/fleet.toml"
	defaultCopiesFile  = "deploy/copies.toml"
	maxMembers         = 1000
)

type file struct {
	Name    string          `json:"name"`
	Listen  string          `json:"listen"`
	Pool    string          `json:"pool"`
	Vault   string          `json:"vault"`
	Control string          `json:"control"`
	Admin   string          `json:"admin"`
	Seed    string          `json:"seed"`
	StopMS  *float64        `json:"stop_ms"`
	Limits  limits          `json:"limits"`
	Setting json.RawMessage `json:"settings"`
}

type limits struct {
	MemoryMB *float64 `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// Load reads the configuration that the environment names.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return Config{}, errors.New("config: RELAY_CONFIG: not set; it names the JSON file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: RELAY_CONFIG: %w", err)
	}
	ajp, err := optional(getenv, "RELAY_AJP", defaultAJPFile)
	if err != nil {
		return Config{}, err
	}
	store, err := optional(getenv, "RELAY_STORE", defaultStoreFile)
	if err != nil {
		return Config{}, err
	}
	fleetText, err := optional(getenv, "RELAY_FLEET", defaultFleetFile)
	if err != nil {
		return Config{}, err
	}
	copiesText, err := optional(getenv, "RELAY_COPIES", defaultCopiesFile)
	if err != nil {
		return Config{}, err
	}
	return parse(text, ajp, store, fleetText, copiesText, getenv)
}

// FileError is what is wrong with one file.
type FileError struct {
	File string // as named, or its usual path
	Err  error
}

// ValidateFiles looks at every file by itself and tells each one's first fault, and what does not fit together.
func ValidateFiles(getenv func(string) string) (out []FileError) {
	texts := map[string][]byte{}
	for _, f := range []struct {
		key, path string
		parse     func([]byte) error
	}{
		{"RELAY_AJP", defaultAJPFile, func(t []byte) error { _, err := parseAJP(t); return err }},
		{"RELAY_STORE", defaultStoreFile, func(t []byte) error { _, err := parseStore(t); return err }},
		{"RELAY_FLEET", defaultFleetFile, func(t []byte) error { _, err := parseFleet(t); return err }},
		{"RELAY_COPIES", defaultCopiesFile, func(t []byte) error { _, err := parseCopies(t); return err }},
	} {
		text, err := optional(getenv, f.key, f.path)
		if err == nil {
			err = f.parse(text)
		}
		if err != nil {
			out = append(out, FileError{orString(getenv(f.key), f.path), err})
			continue
		}
		texts[f.key] = text
	}
	path := getenv("RELAY_CONFIG")
	text, err := os.ReadFile(path)
	switch {
	case path == "":
		err = errors.New("config: RELAY_CONFIG: not set; it names the JSON file")
	case err == nil: // with the faulty ones of the others left out
		_, err = parse(text, texts["RELAY_AJP"], texts["RELAY_STORE"], texts["RELAY_FLEET"], texts["RELAY_COPIES"], getenv)
	default:
		err = fmt.Errorf("config: RELAY_CONFIG: %w", err)
	}
	if err != nil {
		out = append(out, FileError{orString(path, "RELAY_CONFIG"), err})
	}
	return out
}

// optional reads a file that may be missing, unless the environment names it.
func optional(getenv func(string) string, key, path string) ([]byte, error) {
	named := getenv(key)
	text, err := os.ReadFile(orString(named, path))
	if errors.Is(err, fs.ErrNotExist) && named == "" {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", key, err)
	}
	return text, nil
}

// parse checks the files; the name and the addresses of the environment win over the file's.
func parse(text, ajpText, storeText, fleetText, copiesText []byte, getenv func(string) string) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Config{}, fmt.Errorf("config: %s: a %s does not fit", wrong.Field, wrong.Value)
		}
		return Config{}, fmt.Errorf("config: RELAY_CONFIG: %w", err)
	}
	var raw map[string]any
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, fmt.Errorf("config: RELAY_CONFIG: %w", err)
	}
	c := Config{
		Document: raw, Name: orString(getenv("RELAY_NAME"), f.Name), Listen: orString(getenv("RELAY_LISTEN"), f.Listen), PoolAddress: f.Pool, VaultAddress: f.Vault, ControlAddress: f.Control,
		AdminAddress:    orString(getenv("RELAY_ADMIN"), f.Admin),
		ShutdownTimeout: defaultStopMS * microtime.Millisecond, MemoryLimit: defaultMemoryMB << 20, SocketLimit: defaultSockets,
	}
	var err error
	if c.AJP, err = parseAJP(ajpText); err != nil {
		return c, err
	}
	if c.Store, err = parseStore(storeText); err != nil {
		return c, err
	}
	if c.Fleet, err = parseFleet(fleetText); err != nil {
		return c, err
	}
	if c.Copies, err = parseCopies(copiesText); err != nil {
		return c, err
	}
	if c.Copies.ID != 0 && c.Store.Driver != "" {
		return c, errors.New("config: copies.toml: id: store.toml names a store of record as well; only one can hold the intakes")
	}
	if len(c.Fleet.Members) > 0 && c.AJP.BackendAddress != "" {
		return c, errors.New("config: fleet.toml: server: ajp.toml names a runner as well; only one can do the work")
	}
	if c.Name == "" || strings.ContainsAny(c.Name, " \r\n\t") {
		return c, fmt.Errorf("config: name: %q is not one word", c.Name)
	}
	if err := address("listen", c.Listen); err != nil {
		return c, err
	}
	if c.PoolAddress != "" || c.AJP.BackendAddress == "" && len(c.Fleet.Members) == 0 {
		if err := address("pool", c.PoolAddress); err != nil {
			return c, err
		}
	}
	if c.VaultAddress != "" {
		if err := address("vault", c.VaultAddress); err != nil {
			return c, err
		}
	}
	if c.ControlAddress != "" {
		if err := address("control", c.ControlAddress); err != nil {
			return c, err
		}
	}
	if c.AdminAddress != "" {
		if err := address("admin", c.AdminAddress); err != nil {
			return c, err
		}
	}
	if f.StopMS != nil {
		if !(*f.StopMS > 0 && *f.StopMS <= 3600e3) {
			return c, fmt.Errorf("config: stop_ms: %v is not within 0 to an hour", *f.StopMS)
		}
		c.ShutdownTimeout = microtime.Time(*f.StopMS * 1000)
	}
	if m := f.Limits.MemoryMB; m != nil {
		if !(*m >= 32 && *m <= 1<<20) {
			return c, fmt.Errorf("config: limits.memory_mb: %v is not within 32 to 1048576", *m)
		}
		c.MemoryLimit = int64(*m * (1 << 20))
	}
	if n := f.Limits.Sockets; n != nil {
		if *n < 64 {
			return c, fmt.Errorf("config: limits.sockets: %d is under 64", *n)
		}
		c.SocketLimit = *n
	}
	var seed uint64
	if f.Seed != "" {
		if seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("config: seed: %q is not 16 hex digits", f.Seed)
		}
	}
	if len(f.Setting) == 0 {
		return c, errors.New("config: settings: missing")
	}
	if c.Settings, c.Gauges, err = settings.Parse(f.Setting, seed); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if c.Settings.Cores <= 0 {
		return c, fmt.Errorf("config: settings.extra.cores: %d is not over 0", c.Settings.Cores)
	}
	if err := c.checkCalls(); err != nil {
		return c, err
	}
	return c, checkClasses(c.Settings)
}

// checkCalls names what keeps the runs from making the calls that the settings tell of.
func (c Config) checkCalls() error {
	const key = "config: settings.extra.downstream"
	switch {
	case c.Settings.Dependency == control.DependencyNone:
		return nil
	case c.AJP.BackendAddress != "":
		return fmt.Errorf("%s: calls need the worker pool to do the work, and ajp.toml: runner.address names a server in its place", key)
	case len(c.Fleet.Members) > 0:
		return fmt.Errorf("%s: calls need the worker pool to do the work, and fleet.toml: server names others in its place", key)
	case c.VaultAddress == "":
		return errors.New("config: vault: missing; settings.extra.downstream says that runs call it")
	}
	return nil
}

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

// decode reads a TOML file that may hold no other keys than into has.
func decode(name string, text []byte, into any) error {
	meta, err := toml.Decode(string(text), into)
	if err != nil {
		return fmt.Errorf("config: %s: %w", name, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("config: %s: %s: unknown key", name, extra[0])
	}
	return nil
}

func parseStore(text []byte) (Store, error) {
	var f struct {
		Driver    string `toml:"driver"`
		DSN       string `toml:"dsn"`
		TimeoutMS *int   `toml:"timeout_ms"`
	}
	if err := decode("store.toml", text, &f); err != nil {
		return Store{}, err
	}
	s := Store{Driver: f.Driver, DSN: f.DSN, Timeout: defaultStoreMS * time.Millisecond}
	switch f.Driver {
	case "":
		return s, nil
	case "sqlite", "postgres":
	default:
		return s, fmt.Errorf("config: store.toml: driver: %q is neither sqlite nor postgres", f.Driver)
	}
	if f.DSN == "" {
		return s, errors.New("config: store.toml: dsn: missing")
	}
	if n := f.TimeoutMS; n != nil {
		if *n < 1 || *n > 60_000 {
			return s, fmt.Errorf("config: store.toml: timeout_ms: %d is not within 1 to 60000", *n)
		}
		s.Timeout = time.Duration(*n) * time.Millisecond
	}
	return s, nil
}

func parseFleet(text []byte) (Fleet, error) {
	var f struct {
		Edge struct {
			From        uint32  `toml:"from"`
			ProbeFirst  int     `toml:"probe_first_ms"`
			ProbeMost   int     `toml:"probe_most_ms"`
			Warm        int     `toml:"warm_ms"`
			WarmFrom    float64 `toml:"warm_from"`
			EjectMost   float64 `toml:"eject_most"`
			LimitFirst  float64 `toml:"limit_first"`
			LimitMost   float64 `toml:"limit_most"`
			Tries       int     `toml:"tries"`
			RetryEarn   float64 `toml:"retry_earn"`
			RetryBudget float64 `toml:"retry_budget"`
		} `toml:"edge"`
		Servers []Member `toml:"server"`
	}
	if err := decode("fleet.toml", text, &f); err != nil {
		return Fleet{}, err
	}
	e := f.Edge
	ms := func(n int) microtime.Time { return microtime.Time(n) * microtime.Millisecond }
	c := Fleet{Members: f.Servers, CallerID: e.From,
		LoadBalancer: loadbalancer.Config{InitialProbeBackoff: ms(e.ProbeFirst), MaxProbeBackoff: ms(e.ProbeMost), SlowStart: ms(e.Warm), SlowStartShare: e.WarmFrom, MaxEjectedShare: e.EjectMost,
			InitialConcurrency: e.LimitFirst, MaxConcurrency: e.LimitMost},
		Retries: loadbalancer.RetryConfig{TokensPerSuccess: e.RetryEarn, MaxTokens: e.RetryBudget, MaxAttempts: e.Tries}}
	if len(c.Members) > maxMembers {
		return c, fmt.Errorf("config: fleet.toml: server: %d are over %d", len(c.Members), maxMembers)
	}
	seen := map[string]bool{}
	for i, m := range c.Members {
		if m.Name == "" || len(m.Name) > 64 || strings.ContainsAny(m.Name, " \r\n\t") || seen[m.Name] {
			return c, fmt.Errorf("config: fleet.toml: server %d: name: %q is not one word of its own", i+1, m.Name)
		}
		seen[m.Name] = true
		if err := address(fmt.Sprintf("fleet.toml: server %d: address", i+1), m.Address); err != nil {
			return c, err
		}
	}
	check := c.LoadBalancer
	check.Classes = 1 // the settings tell how many there are
	for _, err := range []error{check.Validate(), c.Retries.Validate()} {
		if err != nil {
			return c, fmt.Errorf("config: fleet.toml: edge: %w", err)
		}
	}
	return c, nil
}

func parseCopies(text []byte) (Copies, error) {
	f := struct {
		ID     uint32 `toml:"id"`
		Listen string `toml:"listen"`
		Folder string `toml:"folder"`
		Copies int    `toml:"copies"`
		Wait   int    `toml:"wait_ms"`
		Most   int    `toml:"most_ms"`
		Keys   int    `toml:"changes"`
		Rate   int    `toml:"repair_keys_per_s"`
		AtOnce int    `toml:"repair_at_once"`
		Member []struct {
			ID      uint32 `toml:"id"`
			Address string `toml:"address"`
		} `toml:"member"`
	}{Copies: 3, Wait: 100, Most: 1000, Keys: 1024, Rate: 2000, AtOnce: 32}
	if err := decode("copies.toml", text, &f); err != nil {
		return Copies{}, err
	}
	ms := func(n int) microtime.Time { return microtime.Time(n) * microtime.Millisecond }
	c := Copies{ID: f.ID, Listen: f.Listen, Folder: f.Folder, Copies: f.Copies,
		Decide: consensus.Config{AttemptTimeout: ms(f.Wait), ProposalTimeout: ms(f.Most), MaxInFlight: f.Keys, RepairRate: f.Rate, MaxRepairs: f.AtOnce}}
	for i, m := range f.Member {
		if err := address(fmt.Sprintf("copies.toml: member %d: address", i+1), m.Address); err != nil {
			return c, err
		}
		c.Peers = append(c.Peers, consensus.Member{Identity: consensus.Identity{ID: m.ID}, Addr: m.Address})
	}
	if c.ID == 0 {
		return c, nil
	}
	if err := address("copies.toml: listen", c.Listen); err != nil {
		return c, err
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("config: copies.toml: %w", err)
	}
	return c, nil
}

func parseAJP(text []byte) (AJP, error) {
	var f ajpFile
	if err := decode("ajp.toml", text, &f); err != nil {
		return AJP{}, err
	}
	a := AJP{
		Listen: f.Front.Listen, Secret: f.Front.Secret, BodyTimeout: defaultBodyMS * microtime.Millisecond,
		MaxBody: defaultMaxBody, BackendAddress: f.Runner.Address, BackendSecret: f.Runner.Secret,
		BackendPath: orString(f.Runner.Path, "/run"), BackendConnections: defaultConnections, MaxConnections: defaultMaxConns,
	}
	if a.Listen != "" {
		if err := address("ajp.toml: front.listen", a.Listen); err != nil {
			return a, err
		}
	}
	if a.BackendAddress != "" {
		if err := address("ajp.toml: runner.address", a.BackendAddress); err != nil {
			return a, err
		}
	}
	if n := f.Front.BodyMS; n != nil {
		if *n < 1 || *n > 60_000 {
			return a, fmt.Errorf("config: ajp.toml: front.body_timeout_ms: %d is not within 1 to 60000", *n)
		}
		a.BodyTimeout = microtime.Time(*n) * microtime.Millisecond
	}
	if n := f.Front.BodyBytes; n != nil {
		if *n < 1 || *n > maxMaxBody {
			return a, fmt.Errorf("config: ajp.toml: front.max_body_bytes: %d is not within 1 to %d", *n, maxMaxBody)
		}
		a.MaxBody = *n
	}
	if n := f.Front.MaxConns; n != nil {
		if *n < 1 || *n > 512 {
			return a, fmt.Errorf("config: ajp.toml: front.max_connections: %d is not within 1 to 512", *n)
		}
		a.MaxConnections = *n
	}
	if n := f.Runner.Connections; n != nil {
		if *n < 1 || *n > 256 {
			return a, fmt.Errorf("config: ajp.toml: runner.connections: %d is not within 1 to 256", *n)
		}
		a.BackendConnections = *n
	}
	if !strings.HasPrefix(a.BackendPath, "/") {
		return a, fmt.Errorf("config: ajp.toml: runner.path: %q does not start with /", a.BackendPath)
	}
	return a, nil
}

func address(key, text string) error {
	if text == "" {
		return fmt.Errorf("config: %s: missing", key)
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("config: %s: %q is not an address and port", key, text)
	}
	return nil
}

func orString(s, other string) string {
	if s != "" {
		return s
	}
	return other
}
