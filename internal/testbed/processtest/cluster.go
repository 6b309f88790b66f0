package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"pewterline/internal/protocol/thrift"
)

// Configuration values of each server of a cluster.
const (
	clusterStopMS   = 3200
	clusterMemoryMB = 96
)

// retryInterval is the pause between two attempts of Eventually.
const retryInterval = 10 * time.Millisecond

// Cluster is several servers that replicate to each other. Each server is a real process. A relay forwards the
// connections from each server to each other server.
type Cluster struct {
	Servers []*Member
	RunLog  *RunLog // shared by all worker pools
	Vault   *Vault  // the vault that requests call; nil: they make no downstream calls

	dir    string
	config ClusterConfig
}

// Member is one server of a cluster. Its ID is its position in Cluster.Servers, from 1.
type Member struct {
	*Server
	ID      int
	DataDir string // of the write-ahead log and the snapshots

	replicationAddress string
	relays             map[int]*Relay // to the other servers, by server ID
}

// Process returns the newest process of the server, or nil if none was started.
func (m *Member) Process() *Process {
	processes := m.Processes()
	if len(processes) == 0 {
		return nil
	}
	return processes[len(processes)-1]
}

// ClusterConfig configures a cluster.
type ClusterConfig struct {
	Program    string // the path of the program, as Build returns it
	Settings   json.RawMessage
	Servers    int
	Replicas   int      // of each idempotency key
	ExtraLines []string // appended to the general part of the servers' replication files
}

// NewCluster prepares the servers of a cluster; StartAll starts them. If it returns a cluster together with an error,
// Close has to be called as well.
func NewCluster(cfg ClusterConfig) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "pw") // The name is short because the length of a socket path is limited.
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{RunLog: NewRunLog(), dir: dir, config: cfg}
	if cluster.Vault, err = vaultFor(cfg.Settings); err != nil {
		return cluster, err
	}
	for i := range cfg.Servers {
		member, err := cluster.newMember(i + 1)
		if err != nil {
			return cluster, err
		}
		cluster.Servers = append(cluster.Servers, member)
	}
	for _, member := range cluster.Servers {
		if err := cluster.connect(member); err != nil {
			return cluster, err
		}
	}
	return cluster, nil
}

// newMember prepares a server and creates its folder.
func (c *Cluster) newMember(id int) (*Member, error) {
	home := filepath.Join(c.dir, fmt.Sprintf("s%d", id))
	if err := os.Mkdir(home, 0o700); err != nil {
		return nil, err
	}
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	replicationAddress, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	server := &Server{
		Program:         c.config.Program,
		Dir:             home,
		Name:            fmt.Sprintf("n%d", id),
		Listen:          listen,
		Settings:        c.config.Settings,
		StopMS:          clusterStopMS,
		MemoryMB:        clusterMemoryMB,
		RunLog:          c.RunLog,
		ReplicationFile: filepath.Join(home, "copies.toml"),
	}
	if c.Vault != nil {
		server.VaultAddress = c.Vault.Addr()
	}
	return &Member{
		Server:             server,
		ID:                 id,
		DataDir:            filepath.Join(home, "held"),
		replicationAddress: replicationAddress,
		relays:             map[int]*Relay{},
	}, nil
}

// connect opens the relays from a server to the other servers, and writes its replication file.
func (c *Cluster) connect(member *Member) (err error) {
	for _, other := range c.Servers {
		if other == member {
			continue
		}
		if member.relays[other.ID], err = NewRelay(other.replicationAddress); err != nil {
			delete(member.relays, other.ID)
			return err
		}
	}
	return os.WriteFile(member.ReplicationFile, []byte(c.replicationFile(member)), 0o600)
}

// replicationFile returns the text of a server's replication file. The addresses of the other servers are those of the
// relays.
func (c *Cluster) replicationFile(member *Member) string {
	var text strings.Builder
	fmt.Fprintf(&text, "id = %d\nlisten = %q\nfolder = %q\ncopies = %d\n",
		member.ID, member.replicationAddress, member.DataDir, c.config.Replicas)
	for _, line := range c.config.ExtraLines {
		text.WriteString(line + "\n")
	}
	for _, other := range c.Servers {
		address := member.replicationAddress
		if other != member {
			address = member.relays[other.ID].Addr()
		}
		fmt.Fprintf(&text, "[[member]]\nid = %d\naddress = %q\n", other.ID, address)
	}
	return text.String()
}

// member returns a server by its ID.
func (c *Cluster) member(id int) *Member { return c.Servers[id-1] }

// Start starts the process of a server, and waits until it accepts callers.
func (c *Cluster) Start(id int) error {
	process, err := c.member(id).Start(nil)
	if err != nil {
		return err
	}
	return process.AwaitReady()
}

// StartAll starts all servers, bootstraps their replication group, and waits until it is stable.
func (c *Cluster) StartAll() error {
	for _, member := range c.Servers {
		if err := c.Start(member.ID); err != nil {
			return err
		}
	}
	if err := c.Eventually(func() error { return c.AdminCall(1, "found") }); err != nil {
		return err
	}
	return c.AwaitStable()
}

// RequestOutcome is the reply that a caller received.
type RequestOutcome struct {
	Kind   thrift.ReplyKind
	Result string
}

// Send sends a request to a server and waits for its reply.
func (c *Cluster) Send(id int, request Request) (RequestOutcome, error) {
	conn, err := Dial(c.member(id).Listen)
	if err != nil {
		return RequestOutcome{}, err
	}
	defer conn.Close()
	pending, err := conn.Send(request)
	if err != nil {
		return RequestOutcome{}, err
	}
	reply, err := pending.Await()
	return RequestOutcome{Kind: reply.Kind, Result: string(reply.Body)}, err
}

// Eventually calls try until it returns no error. After WaitTimeout it returns ErrTimeout with the last error.
func (c *Cluster) Eventually(try func() error) error {
	var err error
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); time.Sleep(retryInterval) {
		if err = try(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("processtest: %w: %w", ErrTimeout, err)
}

// Log returns the log output of all processes of all servers.
func (c *Cluster) Log() string {
	var text strings.Builder
	for _, member := range c.Servers {
		for i, process := range member.Processes() {
			for line := range strings.Lines(process.Log()) {
				fmt.Fprintf(&text, "server %d, process %d: %s\n", member.ID, i, strings.TrimSpace(line))
			}
		}
	}
	return text.String()
}

// Close ends everything that was started, and removes all folders. It returns an error if a process does not exit.
func (c *Cluster) Close() error {
	var errs []error
	for _, member := range c.Servers {
		if process := member.Process(); process != nil {
			// Resumes a stopped process. Signal fails if the process has exited, which is not an error here.
			_ = process.Signal(syscall.SIGCONT)
		}
		errs = append(errs, member.Close())
		for _, relay := range member.relays {
			relay.Close()
		}
	}
	if c.Vault != nil {
		c.Vault.Close()
	}
	return errors.Join(append(errs, os.RemoveAll(c.dir))...)
}
