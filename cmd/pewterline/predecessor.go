package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"pewterline/internal/config"
	"pewterline/internal/protocol/upgrade"
)

const (
	// predecessorPatience bounds the search for a predecessor that lives and does not answer, or has to end an upgrade
	// first.
	predecessorPatience = 5 * time.Second
	// predecessorRetryInterval is the pause before a predecessor is asked again that had no time.
	predecessorRetryInterval = 100 * time.Millisecond
	// maxStateBytes bounds what a predecessor may send: the idempotency keys of a retention window.
	maxStateBytes = 64 << 20
	// messageHeaderSize is the size of a message's length on the wire, in bytes.
	messageHeaderSize = 4
	// socketPermissions let this user alone connect: whoever may connect may take over.
	socketPermissions = 0o600
)

var (
	// errNotOurs says that a process lives which this one cannot take over from.
	errNotOurs = errors.New("upgrade: a process of this name lives that cannot be taken over from")
	// errRejected says that a predecessor does not hand over to this process.
	errRejected = errors.New("refused")
	// errNoSocket says that a path is no socket of this user's.
	errNoSocket = errors.New("no socket of this user's")
)

// socketPrefix returns how the names of the sockets begin at which processes of one server wait for a successor: those
// of one name and one address for proxies. Each has a name of its own behind that, as process IDs come again, and a
// process that ends removes the path that it made.
func socketPrefix(cfg config.Config) string {
	return fmt.Sprintf("pewterline-%08x-", uint32(xxhash.Sum64String(cfg.Name+" "+cfg.Listen)))
}

// handsOver reports whether processes of the server can follow each other without a gap. Without an address for
// operators nobody could ask a successor whether it is ready. A replica's log belongs to one process: the next one
// starts when that has ended.
func handsOver(cfg config.Config) bool {
	return cfg.AdminAddress != "" && cfg.Replication.ServerID == 0
}

// listenForSuccessor listens in a folder where successors look; nil where this process cannot hand over.
func listenForSuccessor(dir string, cfg config.Config, logger *zap.Logger) net.Listener {
	if !handsOver(cfg) {
		return nil
	}
	path := filepath.Join(dir, socketPrefix(cfg)+strconv.FormatInt(time.Now().UnixNano(), 36))
	listener, err := net.Listen("unix", path)
	if err == nil {
		if err = os.Chmod(path, socketPermissions); err != nil {
			err = errors.Join(err, listener.Close())
		}
	}
	if err != nil {
		logger.Warn("no successor can take over from this process", zap.Error(err))
		return nil
	}
	return listener
}

// predecessor is the process that serves now, with the state that it has sent.
type predecessor struct {
	path     string // of its socket
	conn     net.Conn
	messages []upgrade.Message
}

// predecessorSearch looks for a process to take over from.
type predecessorSearch struct {
	dir      string // where predecessors listen
	cfg      config.Config
	patience time.Duration
	logger   *zap.Logger
}

// run returns the predecessor; nil: there is none. One that lives and does not hand over within the patience is an
// error, as its idempotency keys are not known and it may run them.
func (s predecessorSearch) run() (*predecessor, error) {
	if !handsOver(s.cfg) {
		return nil, nil //nolint:nilnil // no predecessor is no fault
	}
	deadline := time.Now().Add(s.patience)
	var reason error
	for {
		found, busy, err := s.tryAll(deadline)
		if found != nil || err != nil || busy == nil {
			return found, err
		}
		// An attempt that our own deadline has cut short says nothing about the process: what an earlier one has shown
		// is what an operator needs.
		if reason == nil || !isTimeout(busy) {
			reason = busy
		}
		if time.Now().Add(predecessorRetryInterval).After(deadline) {
			return nil, fmt.Errorf("%w: %w", errNotOurs, reason)
		}
		time.Sleep(predecessorRetryInterval)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// tryAll tries each socket in the folder. busy is why the last one that may yet hand over has not.
func (s predecessorSearch) tryAll(deadline time.Time) (found *predecessor, busy, err error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		// No process can wait there, and a server that could serve must not fail to start for that.
		s.logger.Warn("no predecessor can be found", zap.Error(err))
		return nil, nil, nil
	}
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), socketPrefix(s.cfg)) {
			continue
		}
		path := filepath.Join(s.dir, entry.Name())
		found, err := connectPredecessor(path, s.cfg.Name, deadline)
		switch {
		case err == nil:
			return found, nil, nil
		case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fs.ErrNotExist):
			s.logger.Info("leftover socket of a dead process removed", zap.String("path", path))
			_ = os.Remove(path) // another process may have done so
		case errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, errNoSocket):
			s.logger.Warn("no socket of this user's, passed over", zap.String("path", path))
		case errors.Is(err, upgrade.ErrVersionMismatch):
			return nil, nil, fmt.Errorf("%w: %s: %w", errNotOurs, path, err)
		default:
			busy = fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil, busy, nil
}

// connectPredecessor connects to the process that listens at a path and receives its state.
func connectPredecessor(path, name string, deadline time.Time) (*predecessor, error) {
	if err := checkSocket(path); err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("unix", path, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	messages, err := receiveState(conn, name, deadline)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &predecessor{path: path, conn: conn, messages: messages}, nil
}

// checkSocket returns errNoSocket for what is no socket of this user's: in a folder that others can write to, anybody
// may leave one.
func checkSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if info.Mode()&fs.ModeSocket == 0 || ok && int(stat.Uid) != os.Geteuid() {
		return errNoSocket
	}
	return nil
}

// receiveState introduces this process and receives all that the predecessor has to tell, before the deadline.
func receiveState(conn net.Conn, name string, deadline time.Time) ([]upgrade.Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	hello := upgrade.Append(upgrade.Preamble[:], upgrade.Message{Kind: upgrade.Hello, Name: name})
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	preamble := make([]byte, len(upgrade.Preamble))
	if _, err := io.ReadFull(conn, preamble); err != nil {
		return nil, err
	}
	if _, err := upgrade.CheckPreamble(preamble); err != nil {
		return nil, err
	}
	var messages []upgrade.Message
	for received := 0; ; {
		message, size, err := readMessage(conn)
		if err != nil {
			return nil, err
		}
		if received += size; received > maxStateBytes {
			return nil, fmt.Errorf("%w: over %d bytes were told", upgrade.ErrMalformedFrame, maxStateBytes)
		}
		switch message.Kind {
		case upgrade.Reject:
			return nil, fmt.Errorf("%w: %s", errRejected, message.Reason)
		case upgrade.NextChunk:
			if _, err := conn.Write(upgrade.Append(nil, message)); err != nil {
				return nil, err
			}
		case upgrade.Synced:
			return messages, conn.SetDeadline(time.Time{})
		default:
			messages = append(messages, message)
		}
	}
}

// readMessage reads one message and nothing behind it. It returns the message's size on the wire as well.
func readMessage(r io.Reader) (message upgrade.Message, size int, err error) {
	header := make([]byte, messageHeaderSize)
	if _, err := io.ReadFull(r, header); err != nil {
		return message, 0, err
	}
	length, err := upgrade.Size(header)
	if err != nil {
		return message, 0, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return message, 0, err
	}
	message, err = upgrade.Decode(body)
	return message, len(header) + length, err
}
