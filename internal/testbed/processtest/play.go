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
	"time"

	"pewterline/internal/testbed/faults"
)

// The configuration of the server under test.
const (
	playStopMS   = 3200
	playMemoryMB = 64
	// playRunSlots and playRunTime make requests wait for each other at a worker pool.
	playRunSlots = 1
	playRunTime  = 5 * time.Millisecond
)

// serverPlay is a play of one server, whose processes are upgraded and killed under load.
type serverPlay struct {
	script      faults.Script
	options     Options
	settings    map[string]any // from options, with memory for all keys; read-only
	server      *Server
	vault       *Vault // nil: requests make no downstream calls
	recorder    *Recorder
	goroutines  sync.WaitGroup // of the callers and of the vault's faults
	stopped     atomic.Bool    // tells the goroutines to end
	upgradeLock sync.Mutex     // held while processes are replaced: one upgrade at a time

	mu         sync.Mutex
	processes  []*Process // oldest first; some may have exited
	relays     map[*Process]*Relay
	extraClass bool // whether a reload has added the class extraClassName
}

// Play runs a fault script against one server, s0, and checks what callers and worker pools observed. It returns at the
// end of the script. The faults of a script are:
//
//	term node=s0                        an upgrade: once a successor is ready, the old process gets SIGTERM
//	kill node=s0|s1 for=                SIGKILL of the oldest or the newest process; one starts later if none is left
//	pause node=s0|s1 for=               SIGSTOP, then SIGCONT
//	hup node=s0                         the class grape-count is added or removed, and all processes get SIGHUP
//	stall, lag, thin node=s0 peer=w0    on the connections of all processes to their worker pools
//	dark, cut node=s0 peer=w0           the same, for the data that the node sends; or node=w0 peer=s0
func Play(script faults.Script, options Options) (outcome Outcome, err error) {
	if err := script.Validate(); err != nil {
		return outcome, err
	}
	dir, err := os.MkdirTemp("", "pw") // The name is short because the length of a socket path is limited.
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
	if options.CallVault {
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

// parsePlaySettings parses settings, and sets their memory to enough for all keys of a play.
func parsePlaySettings(settings json.RawMessage) (map[string]any, error) {
	var document map[string]any
	if err := json.Unmarshal(settings, &document); err != nil {
		return nil, fmt.Errorf("processtest: settings: %w", err)
	}
	if _, ok := document["classes"].([]any); !ok {
		return nil, errors.New("processtest: settings: classes are missing")
	}
	setAmpleMemory(document)
	return document, nil
}

func writeStoreFile(path, database string) error {
	text := fmt.Sprintf("driver = \"sqlite\"\ndsn = %q\ntimeout_ms = 30000\n", database)
	return os.WriteFile(path, []byte(text), 0o600)
}

// run starts the first process, and injects the faults of the script while callers send requests.
func (p *serverPlay) run() error {
	first, err := p.startProcess()
	if err != nil {
		return err
	}
	if err := first.AwaitReady(); err != nil {
		return err
	}
	// run owns the goroutines of the load and waits for them: they end once stopped is set.
	for i := range p.script.Proxies {
		p.goroutines.Go(func() { newPlayCaller(p, i).run() })
	}
	if p.options.CallVault {
		p.goroutines.Go(p.injectVaultFaults)
	}
	p.recorder.InjectFaults(p.script, p.inject)
	p.stopped.Store(true)
	p.goroutines.Wait()
	return nil
}

// close ends everything that the play has started.
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

// startProcess starts a process that connects to its worker pool through a relay.
func (p *serverPlay) startProcess() (*Process, error) {
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
	process.Pool.SetRunDuration(playRunSlots, playRunTime)
	p.mu.Lock()
	p.processes = append(p.processes, process)
	p.relays[process] = relay
	p.mu.Unlock()
	p.recorder.Update(func(o *Outcome) { o.Starts++ })
	return process, nil
}

// extraClassName is the class that reloads add and remove.
const extraClassName = "grape-count"

// currentSettings returns the settings, with the extra class if the last reload has added it.
func (p *serverPlay) currentSettings() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.extraClass {
		return p.settings
	}
	settings := maps.Clone(p.settings)
	classes, _ := settings["classes"].([]any) // parsePlaySettings has checked the type.
	settings["classes"] = append(slices.Clone(classes), map[string]any{
		"name": extraClassName, "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free",
	})
	return settings
}

// liveProcesses removes the processes that have exited from the list, and returns the others, oldest first.
func (p *serverPlay) liveProcesses() []*Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = slices.DeleteFunc(p.processes, (*Process).Ended)
	return slices.Clone(p.processes)
}
