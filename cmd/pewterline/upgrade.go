package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/config"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/server"
	"pewterline/internal/transport/sockets"
)

const (
	patience  = 5 * time.Second        // with a predecessor that lives and does not answer, or has to leave first
	askAgain  = 100 * time.Millisecond // where it had no time for us
	sureConns = 8                      // that a new process takes, however many the old one has
	toldMost  = 64 << 20               // bytes that a predecessor may tell: the keys of a window
)

// errOther says that a process lives that this one can't take over from.
var errOther = errors.New("upgrade: a process of this name lives that cannot be taken over from")

// meeting is how the names begin where processes of a log server wait for a successor: those of one name and one address for
// proxies. Each has a name of its own behind that: numbers of processes come again, and one that ends takes away the path it made.
func meeting(cfg config.Config) string {
	return fmt.Sprintf("pewterline-%08x-", uint32(xxhash.Sum64String(cfg.Name+" "+cfg.Listen)))
}

// meetingPoint listens where this process waits for a successor; nil where it does not: without an address for operators
// nobody could ask a successor whether it is ready. Where Unix sockets are refused, the process
// serves without one.
func meetingPoint(dir string, cfg config.Config, logf func(string, ...any)) net.Listener {
	if cfg.AdminAddress == "" || cfg.Replication.ServerID != 0 { // one process holds a server's copies: the next one starts once it has ended
		return nil
	}
	path := filepath.Join(dir, meeting(cfg)+strconv.FormatInt(time.Now().UnixNano(), 36))
	ln, err := net.Listen("unix", path)
	if err == nil { // whoever may connect may take over
		if err = os.Chmod(path, 0o600); err != nil {
			err = errors.Join(err, ln.Close())
		}
	}
	if err != nil {
		logf("upgrade: %v: this process can't be taken over from", err)
		return nil
	}
	return ln
}

// predecessor is the process that serves now, and what it has told.
type predecessor struct {
	path string
	conn net.Conn
	told []upgrade.Message
}

// approach looks for a process to take over from; nil: there is none. Leftovers of dead ones are taken away. One that lives
// and does not hand over within the patience is an error, as its keys are not known and it may run them.
func approach(dir string, cfg config.Config, patience time.Duration, logf func(string, ...any)) (*predecessor, error) {
	if cfg.AdminAddress == "" || cfg.Replication.ServerID != 0 {
		return nil, nil
	}
	until := time.Now().Add(patience)
	for {
		entries, err := os.ReadDir(dir)
		if err != nil { // no process can wait there; a server that could serve must not fail to start for that
			logf("upgrade: %v: no process can be taken over from", err)
			return nil, nil
		}
		var last error
		for _, e := range entries {
			if !strings.HasPrefix(e.Name(), meeting(cfg)) {
				continue
			}
			path := filepath.Join(dir, e.Name())
			p, err := meet(path, cfg.Name, until)
			switch {
			case err == nil:
				return p, nil
			case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fs.ErrNotExist):
				logf("upgrade: %s is a leftover of a dead process", path)
				_ = os.Remove(path)
			case errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, errNoSocket):
				logf("upgrade: %s is no socket of this user's, and is passed over", path)
			case errors.Is(err, upgrade.ErrVersionMismatch):
				return nil, fmt.Errorf("%w: %s: %w", errOther, path, err)
			default:
				last = fmt.Errorf("%s: %w", path, err)
			}
		}
		if last == nil {
			return nil, nil
		}
		if time.Now().Add(askAgain).After(until) {
			return nil, fmt.Errorf("%w: %w", errOther, last)
		}
		time.Sleep(askAgain)
	}
}

var errNoSocket = errors.New("no socket of this user's")

// meet says hello to the process that waits at a path, and hears all that it has to tell.
func meet(path, name string, until time.Time) (_ *predecessor, err error) {
	if info, err := os.Lstat(path); err != nil {
		return nil, err
	} else if stat, ok := info.Sys().(*syscall.Stat_t); info.Mode()&fs.ModeSocket == 0 || ok && int(stat.Uid) != os.Geteuid() {
		return nil, errNoSocket // in a folder that others can write to, anybody may leave one
	}
	conn, err := net.DialTimeout("unix", path, time.Until(until))
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, conn.Close())
		}
	}()
	if err := conn.SetDeadline(until); err != nil {
		return nil, err
	}
	p := &predecessor{path: path, conn: conn}
	if _, err := conn.Write(upgrade.Append(upgrade.Preamble[:], upgrade.Message{Kind: upgrade.Hello, Name: name})); err != nil {
		return nil, err
	}
	first := make([]byte, len(upgrade.Preamble))
	if _, err := io.ReadFull(conn, first); err != nil {
		return nil, err
	}
	if _, err := upgrade.CheckPreamble(first); err != nil {
		return nil, err
	}
	for size := 0; ; {
		m, n, err := read(conn)
		if err != nil {
			return nil, err
		}
		if size += n; size > toldMost {
			return nil, fmt.Errorf("%w: over %d bytes were told", upgrade.ErrMalformedFrame, toldMost)
		}
		switch m.Kind {
		case upgrade.Reject:
			return nil, fmt.Errorf("refused: %s", m.Reason)
		case upgrade.NextChunk:
			if _, err := conn.Write(upgrade.Append(nil, m)); err != nil {
				return nil, err
			}
		case upgrade.Synced:
			return p, conn.SetDeadline(time.Time{})
		default:
			p.told = append(p.told, m)
		}
	}
}

// read reads one message and nothing behind it.
func read(r io.Reader) (m upgrade.Message, size int, err error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(r, head); err != nil {
		return m, 0, err
	}
	n, err := upgrade.Size(head)
	if err != nil {
		return m, 0, err
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return m, 0, err
	}
	m, err = upgrade.Decode(body)
	return m, 4 + n, err
}

// host is part of edge.Host: what a hand-over does to the process.
type host struct {
	cfg            config.Config
	logf           func(string, ...any)
	loop           atomic.Pointer[sockets.Loop]
	conns, buffers int          // of a process that is alone
	wait           net.Listener // for a successor; nil: none can come
	before         string       // the path of the predecessor; "": none
	others         int
	lost           atomic.Bool
}

// use gives the host its loop, which may have begun.
func (h *host) use(l *sockets.Loop) error {
	h.loop.Store(l)
	if h.wait != nil {
		l.Serve(h.wait, server.HandoffListener)
	}
	if h.before == "" {
		return nil
	}
	return l.Execute(func() { h.ShareLimits(h.others) })
}

// SteerListeners is part of edge.Host. Proxies' and web servers' listeners are steered; operators call each process at its own address.
func (h *host) SteerListeners(place int) {
	l := h.loop.Load()
	if l == nil {
		return // a successor that comes before this process serves shares the port as the kernel picks
	}
	for i, addr := range []string{h.cfg.Listen, h.cfg.AJP.Listen} {
		if addr == "" {
			continue
		}
		if err := l.DirectConnections(i, place); err != nil {
			h.logf("upgrade: %v: the kernel picks between both processes", err)
		}
	}
}

// ShareLimits is part of edge.Host. Two processes have the descriptors and the memory of one: each keeps to half of
// the places, and the new one to less where the old one has more in use.
func (h *host) ShareLimits(others int) {
	h.others = others
	l := h.loop.Load()
	if others < 0 {
		debug.SetMemoryLimit(h.cfg.MemoryLimit / 2)
	} else {
		debug.SetMemoryLimit(h.cfg.MemoryLimit / 4)
	}
	switch {
	case l == nil: // use comes later
	case others < 0:
		l.SetLimits(h.conns, h.buffers)
	default:
		both := h.conns - spareSockets - vaultConns(h.cfg)
		l.SetLimits(max(min(both/2, both-others), sureConns), h.buffers/2)
	}
}

// Orphaned is part of edge.Host. Guards the keys against a link that broke between two processes that both live: this one
// must not take the other for dead, nor serve beside it.
func (h *host) Orphaned() {
	go func() {
		time.Sleep(askAgain) // a process that dies closes its sockets one after the other
		c, err := net.DialTimeout("unix", h.before, time.Second)
		if err != nil {
			h.logf("upgrade: the predecessor has died; this process owns the keys")
			return
		}
		_ = c.Close()
		h.lost.Store(true)
		h.loop.Load().Stop()
	}()
}

func (h *host) failed() error {
	if h.lost.Load() {
		return fmt.Errorf("%w: the link to it is lost", errOther)
	}
	return nil
}
