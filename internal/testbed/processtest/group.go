package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"pewterline/internal/protocol/thrift"
)

// Cluster is several log servers that hold copies for each other: real processes, with a relay on each way from one to another.
type Cluster struct {
	Servers []*Member
	RunLog  *RunLog // of all worker pools
	Vault   *Vault  // where their requests call; nil: they don't
	dir     string
	copies  int
	lines   []string // more of the servers' files
}

// Member is one server of a group. Its number is its place among Servers, from 1.
type Member struct {
	*Server
	ID      int
	DataDir string // of what it holds
	Process *Process
	listen  string
	ways    map[int]*Relay // to the others
}

// ClusterConfig says what a cluster is made of.
type ClusterConfig struct {
	Program    string // the path of the program, as Build returns it
	Settings   json.RawMessage
	Servers    int
	Replicas   int      // of each idempotency key
	ExtraLines []string // of the servers' replication files
}

// NewCluster prepares the servers of a cluster; StartAll starts them. The cluster has to be closed also where there is an error, if
// there is a cluster at all.
func NewCluster(cfg ClusterConfig) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "pw")
	if err != nil {
		return nil, err
	}
	g := &Cluster{RunLog: NewRunLog(), dir: dir, copies: cfg.Replicas, lines: cfg.ExtraLines}
	if g.Vault, err = vaultFor(cfg.Settings); err != nil {
		return g, err
	}
	for i := range cfg.Servers {
		m := &Member{ID: i + 1, ways: map[int]*Relay{}}
		home := filepath.Join(dir, fmt.Sprint("s", m.ID))
		m.DataDir = filepath.Join(home, "held")
		if err := os.Mkdir(home, 0o700); err != nil {
			return g, err
		}
		front, err := FreeAddress()
		if err == nil {
			m.listen, err = FreeAddress()
		}
		if err != nil {
			return g, err
		}
		m.Server = &Server{Program: cfg.Program, Dir: home, Name: fmt.Sprint("n", m.ID), Listen: front, Settings: cfg.Settings, StopMS: 3200, MemoryMB: 96, RunLog: g.RunLog,
			ReplicationFile: filepath.Join(home, "copies.toml")}
		if g.Vault != nil {
			m.Server.VaultAddress = g.Vault.Addr()
		}
		g.Servers = append(g.Servers, m)
	}
	for _, m := range g.Servers {
		for _, o := range g.Servers {
			if o == m {
				continue
			}
			if m.ways[o.ID], err = NewRelay(o.listen); err != nil {
				return g, err
			}
		}
		if err := g.write(m); err != nil {
			return g, err
		}
	}
	return g, nil
}

func (g *Cluster) write(m *Member) error {
	var b strings.Builder
	fmt.Fprintf(&b, "id = %d\nlisten = %q\nfolder = %q\ncopies = %d\n", m.ID, m.listen, m.DataDir, g.copies)
	for _, l := range g.lines {
		b.WriteString(l + "\n")
	}
	for _, o := range g.Servers {
		addr := m.listen
		if o != m {
			addr = m.ways[o.ID].Addr()
		}
		fmt.Fprintf(&b, "[[member]]\nid = %d\naddress = %q\n", o.ID, addr)
	}
	return os.WriteFile(m.ReplicationFile, []byte(b.String()), 0o600)
}

// LongRetention are settings whose windows outlast any play, however slow the machine is.
func LongRetention(settings json.RawMessage) json.RawMessage {
	var set map[string]any
	if err := json.Unmarshal(settings, &set); err != nil {
		return settings // the program names what is wrong with them
	}
	classes, _ := set["classes"].([]any)
	for _, c := range classes {
		if class, ok := c.(map[string]any); ok && class["window_ms"] != nil {
			class["window_ms"] = 600_000
		}
	}
	// Keys fill the module's memory long before a play is over.
	if extra, ok := set["extra"].(map[string]any); ok {
		extra["memory_kb"] = 16e6
	}
	out, err := json.Marshal(set)
	if err != nil {
		return settings
	}
	return out
}

// RelayBetween is the relay by which one server reaches another.
func (g *Cluster) RelayBetween(from, to int) *Relay { return g.Servers[from-1].ways[to] }

// RelaysOf has something happen to all links of a server, both those that it opens and those that are opened to it.
func (g *Cluster) RelaysOf(id int, f func(*Relay)) {
	for _, m := range g.Servers {
		if m.ID != id {
			f(g.RelayBetween(id, m.ID))
			f(g.RelayBetween(m.ID, id))
		}
	}
}

// Isolate has nothing that a server sends reach the others, in whichever direction a link was opened.
func (g *Cluster) Isolate(id int) {
	for _, m := range g.Servers {
		if m.ID != id {
			g.RelayBetween(id, m.ID).Drop(Forward)
			g.RelayBetween(m.ID, id).Drop(Backward)
		}
	}
}

// Start starts the process of a server, and waits until it takes clients.
func (g *Cluster) Start(id int) error {
	m := g.Servers[id-1]
	p, err := m.Server.Start(nil)
	if err != nil {
		return err
	}
	m.Process = p
	return p.Ready()
}

// StartAll starts all, and founds a group of them.
func (g *Cluster) StartAll() error {
	for _, m := range g.Servers {
		if err := g.Start(m.ID); err != nil {
			return err
		}
	}
	if err := g.Eventually(func() error { return g.AdminCall(1, "found") }); err != nil {
		return err
	}
	return g.AwaitStable()
}

// Kill ends a server's process, as a lost machine does.
func (g *Cluster) Kill(id int) error {
	p := g.Servers[id-1].Process
	if p == nil || p.Ended() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = p.Wait() // killed
	if !p.Ended() {
		return fmt.Errorf("procs: server %d would not die", id)
	}
	return nil
}

// Wipe loses the disk of a server whose process has ended.
func (g *Cluster) Wipe(id int) error { return os.RemoveAll(g.Servers[id-1].DataDir) }

// SetDiskFault has the disk of a server fail, where the program is built with the tag faults; "" heals it.
func (g *Cluster) SetDiskFault(id int, what string) error {
	path := g.Servers[id-1].DataDir + ".fault"
	if what == "" {
		err := os.Remove(path)
		if errors.Is(err, os.ErrNotExist) {
			return nil
		}
		return err
	}
	return os.WriteFile(path, []byte(what), 0o600)
}

// SetClockOffset has a server's wall clock off by so many milliseconds from now on, where the program is built with the tag faults.
func (g *Cluster) SetClockOffset(id, ms int) error {
	return os.WriteFile(filepath.Join(g.Servers[id-1].Dir, "wall"), []byte(fmt.Sprint(ms)), 0o600)
}

// Stall stops a server's process; Wake has it go on.
func (g *Cluster) Stall(id int) error { return g.Servers[id-1].Process.Stall() }

// Resume has a stalled process go on.
func (g *Cluster) Resume(id int) error { return g.Servers[id-1].Process.Signal(syscall.SIGCONT) }

// ExportedKey is a key that a server holds.
type ExportedKey struct {
	Key, Kind string
	Owner     uint32
}

// Export is what a server holds.
func (g *Cluster) Export(id int) (out []ExportedKey, err error) {
	for after := ""; ; {
		status, body, err := g.Servers[id-1].Process.AdminCall(http.MethodGet, "/control/copies/export?after="+url.QueryEscape(after))
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("procs: export: %d: %s", status, body)
		}
		var some []ExportedKey
		if err == nil {
			err = json.Unmarshal([]byte(body), &some)
		}
		if err != nil || len(some) == 0 {
			return out, err
		}
		out, after = append(out, some...), some[len(some)-1].Key
	}
}

// State is what a server says of its group.
type State struct {
	ID           uint32 `json:"id"`
	Incarnation  string `json:"life"`
	Epoch        uint64 `json:"epoch"`
	Changing     bool   `json:"changing"`
	Acknowledged int    `json:"changing_marked"`
	Reason       string `json:"why"`
	LossMS       int64  `json:"lost_ms"`
	Voting       bool   `json:"voting"`
	Members      []struct {
		ID                   uint32
		Life, Lives, Address string
		Up, Now              bool
	}
	Counters struct {
		Held      int    `json:"keys_held"`
		Owed      int    `json:"keys_owed"`
		Under     int    `json:"changes_under_way"`
		Repairing int    `json:"keys_to_repair"`
		Repaired  uint64 `json:"keys_repaired"`
		Unknown   int    `json:"outcomes_unknown"`
		Refused   int    `json:"refused_uncopied"`
		AtRisk    int    `json:"results_at_risk"`
		Disk      int    `json:"disk_failures"`
		Syncs     int64  `json:"disk_syncs"`
		Bytes     int64  `json:"disk_bytes"`
	}
}

// State asks a server.
func (g *Cluster) State(id int) (s State, err error) {
	status, body, err := g.Servers[id-1].Process.AdminCall(http.MethodGet, "/control/copies")
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("procs: %d: %s", status, body)
	}
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// AdminCall gives a server an operator's word about its group.
func (g *Cluster) AdminCall(id int, call string) error {
	status, body, err := g.Servers[id-1].Process.AdminCall(http.MethodPut, "/control/copies/"+call)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("procs: %s: %d: %s", call, status, body)
	}
	return err
}

// Eventually tries until there is no error. Its patience is no verdict on time; it only ends a test that hangs.
func (g *Cluster) Eventually(try func() error) error {
	var err error
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if err = try(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("procs: not in time: %w", err)
}

// AwaitStable waits until all servers that live go by one group in which no change is under way, are members with the life that they
// have, vote, reach all that live, and have nothing to repair.
func (g *Cluster) AwaitStable() error {
	return g.Eventually(func() error {
		var epoch uint64
		living := map[uint32]bool{}
		for _, m := range g.Servers {
			living[uint32(m.ID)] = m.Process != nil && !m.Process.Ended()
		}
		for _, m := range g.Servers {
			if !living[uint32(m.ID)] {
				continue
			}
			s, err := g.State(m.ID)
			if err != nil {
				return err
			}
			if epoch == 0 {
				epoch = s.Epoch
			}
			if s.Epoch == 0 || s.Epoch != epoch || s.Changing || !s.Voting || s.Counters.Repairing > 0 {
				return fmt.Errorf("procs: server %d: %+v", m.ID, s)
			}
			for _, o := range s.Members {
				if living[o.ID] && (!o.Up || o.Lives != o.Life) {
					return fmt.Errorf("procs: server %d has not taken up %d: %+v", m.ID, o.ID, s)
				}
			}
		}
		return nil
	})
}

// RequestOutcome is what a caller was told.
type RequestOutcome struct {
	Kind   thrift.ReplyKind
	Result string
}

// Send sends a request to a server and waits for its reply.
func (g *Cluster) Send(id int, request Request) (RequestOutcome, error) {
	c, err := Dial(g.Servers[id-1].Listen)
	if err != nil {
		return RequestOutcome{}, err
	}
	defer c.Close()
	a, err := c.Send(request)
	if err != nil {
		return RequestOutcome{}, err
	}
	r, err := a.Await()
	return RequestOutcome{r.Kind, string(r.Body)}, err
}

// Log is what all processes of all servers have logged.
func (g *Cluster) Log() string {
	var b strings.Builder
	for _, m := range g.Servers {
		for i, p := range m.all {
			for line := range strings.Lines(p.Log()) {
				fmt.Fprintf(&b, "server %d, process %d: %s\n", m.ID, i, strings.TrimSpace(line))
			}
		}
	}
	return b.String()
}

// Close ends all that was started, and takes its folders away. It is an error if a process would not die.
func (g *Cluster) Close() error {
	var errs []error
	for _, m := range g.Servers {
		if m.Process != nil {
			_ = m.Process.Signal(syscall.SIGCONT)
		}
		errs = append(errs, m.Server.Close())
		for _, r := range m.ways {
			r.Close()
		}
	}
	if g.Vault != nil {
		g.Vault.Close()
	}
	return errors.Join(append(errs, os.RemoveAll(g.dir))...)
}
