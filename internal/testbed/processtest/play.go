package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"pewterline/internal/testbed/faults"
)

// The server that Play plays.
const (
	playStopMS   = 3200
	playMemoryMB = 64
)

// serverPlay is one server that is played: real processes that are upgraded and killed under load.
type serverPlay struct {
	script   faults.Script
	options  Options
	settings map[string]any // of options, with memory for all keys; never changed
	server   *Server
	vault    *Vault // nil: nothing is called
	recorder *Recorder
	loads    sync.WaitGroup // the goroutines of callers and of the vault's faults
	stopped  atomic.Bool    // they are to end
	upgrade  sync.Mutex     // is held while processes are replaced: one upgrade at a time

	mu         sync.Mutex
	alive      []*Process // oldest first; some may have ended
	relays     map[*Process]*Relay
	extraClass bool // a reload has added the class extraClassName
}

// Play plays a script against one server, s0, to the end, and checks what callers and worker pools saw. The faults of a
// script are:
//
//	term node=s0                        an upgrade: once a successor is ready, the old process gets SIGTERM
//	kill node=s0|s1 for=                SIGKILL of the oldest or the youngest process; one starts later if none is left
//	pause node=s0|s1 for=               SIGSTOP, and SIGCONT after a while
//	hup node=s0                         the class grape-count comes or goes in the file, and all processes get SIGHUP
//	stall, lag, thin node=s0 peer=w0    on the connections to the worker pool, of all processes
//	dark, cut node=s0 peer=w0           the same, of what the node sends; or node=w0 peer=s0
func Play(script faults.Script, options Options) (outcome Outcome, err error) {
	if err := script.Validate(); err != nil {
		return outcome, err
	}
	dir, err := os.MkdirTemp("", "pw") // Short: a socket's path has to fit.
	if err != nil {
		return outcome, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	play, err := newServerPlay(script, options, dir)
	if err != nil {
		return outcome, err
	}
	defer func() { err = errors.Join(err, play.close()) }()
	if err := play.run(); err != nil {
		return outcome, err
	}
	play.check()
	return play.recorder.Finish(play.logLines), nil
}

func newServerPlay(script faults.Script, options Options, dir string) (*serverPlay, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	if options.Calls {
		if options.Settings, err = WithCalls(options.Settings, keyedClass); err != nil {
			return nil, err
		}
	}
	play := &serverPlay{
		script:   script,
		options:  options,
		relays:   map[*Process]*Relay{},
		recorder: NewRecorder(options.Log),
		server: &Server{
			Program:  options.Program,
			Dir:      dir,
			Listen:   listen,
			Settings: options.Settings,
			StopMS:   playStopMS,
			MemoryMB: playMemoryMB,
			RunLog:   NewRunLog(),
		},
	}
	if play.settings, err = parsePlaySettings(options.Settings); err != nil {
		return nil, err
	}
	if script.Store {
		play.server.StoreFile = filepath.Join(dir, "store.toml")
		if err := writeStoreFile(play.server.StoreFile, filepath.Join(dir, "store.db")); err != nil {
			return nil, err
		}
	}
	if play.vault, err = vaultFor(options.Settings); err != nil {
		return nil, err
	}
	if play.vault != nil {
		play.server.VaultAddress = play.vault.Addr()
	}
	return play, nil
}

// parsePlaySettings reads settings and gives them memory for all keys of a play.
func parsePlaySettings(settings json.RawMessage) (map[string]any, error) {
	var document map[string]any
	if err := json.Unmarshal(settings, &document); err != nil {
		return nil, fmt.Errorf("processtest: settings: %w", err)
	}
	if _, ok := document["classes"].([]any); !ok {
		return nil, errors.New("processtest: settings: no classes")
	}
	setAmpleMemory(document)
	return document, nil
}

func writeStoreFile(path, database string) error {
	text := fmt.Sprintf("driver = \"sqlite\"\ndsn = %q\ntimeout_ms = 30000\n", database)
	return os.WriteFile(path, []byte(text), 0o600)
}

// run starts the first process, and has callers send requests while the faults of the script happen.
func (p *serverPlay) run() error {
	first, err := p.start()
	if err != nil {
		return err
	}
	if err := first.Ready(); err != nil {
		return err
	}
	// run owns the goroutines of the load and waits for them: they end once stopped is set.
	for i := range p.script.Proxies {
		p.loads.Go(func() { newPlayCaller(p, i).run() })
	}
	if p.options.Calls {
		p.loads.Go(p.disturbVault)
	}
	p.recorder.InjectFaults(p.script, p.inject)
	p.stopped.Store(true)
	p.loads.Wait()
	return nil
}

// close ends all that the play has started.
func (p *serverPlay) close() error {
	err := p.server.Close()
	for _, relay := range p.relays {
		relay.Close()
	}
	if p.vault != nil {
		p.vault.Close()
	}
	return err
}

// start starts a process behind a relay to its worker pool.
func (p *serverPlay) start() (*Process, error) {
	var relay *Relay
	var relayErr error
	process, err := p.server.Start(func(config map[string]any) {
		pool, _ := config["pool"].(string)
		if relay, relayErr = NewRelay(pool); relayErr == nil {
			config["pool"] = relay.Addr()
		}
		config["settings"] = p.currentSettings()
	})
	if err := errors.Join(relayErr, err); err != nil {
		if relay != nil {
			relay.Close()
		}
		return nil, err
	}
	p.mu.Lock()
	p.alive = append(p.alive, process)
	p.relays[process] = relay
	p.mu.Unlock()
	p.recorder.Update(func(o *Outcome) { o.Starts++ })
	return process, nil
}

// extraClassName is the class that comes and goes by reloads.
const extraClassName = "grape-count"

// currentSettings returns the settings, with the class that comes and goes.
func (p *serverPlay) currentSettings() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.extraClass {
		return p.settings
	}
	settings := maps.Clone(p.settings)
	classes, _ := settings["classes"].([]any) // parsePlaySettings has checked it.
	settings["classes"] = append(slices.Clone(classes), map[string]any{
		"name": extraClassName, "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free",
	})
	return settings
}

// living forgets the processes that have ended, and returns the others, oldest first.
func (p *serverPlay) living() []*Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive = slices.DeleteFunc(p.alive, (*Process).Ended)
	return slices.Clone(p.alive)
}
