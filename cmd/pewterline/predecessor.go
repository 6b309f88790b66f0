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
	// predecessorPatience is how long a start waits for a predecessor that does not answer, or that has to end another
	// upgrade first.
	predecessorPatience = 5 * time.Second
	// predecessorRetryInterval is the pause between two attempts to reach a predecessor.
	predecessorRetryInterval = 100 * time.Millisecond
	// maxStateBytes is the most bytes that a predecessor may send: the idempotency keys of a retention window.
	maxStateBytes = 64 << 20
	// messageHeaderSize is the size of a message's length on the wire, in bytes.
	messageHeaderSize = 4
	// socketPermissions allow only this user to connect, because any process that connects can take over.
	socketPermissions = 0o600
)

var (
	// errNotOurs means that there is a running process from which this one cannot take over.
	errNotOurs = errors.New("upgrade: a process of this name lives that cannot be taken over from")
	// errRejected means that a predecessor has refused to hand over to this process.
	errRejected = errors.New("refused")
	// errNoSocket means that a path is not a socket of this user.
	errNoSocket = errors.New("no socket of this user's")
)

// socketPrefix returns the common prefix of the names of the sockets at which the processes of one server, identified
// by its name and its listen address, wait for a successor. Each process adds a unique suffix, so that a process that
// ends cannot remove the socket of another. Process IDs would not do, because they are reused.
func socketPrefix(cfg config.Config) string {
	return fmt.Sprintf("pewterline-%08x-", uint32(xxhash.Sum64String(cfg.Name+" "+cfg.Listen)))
}

// handsOver reports whether the server supports hot restarts. It does not without an operators' listener, which is
// needed to ask a successor whether it is ready, and not as a replica, because only one process can open the
// write-ahead log.
func handsOver(cfg config.Config) bool {
	return cfg.AdminAddress != "" && cfg.Replication.ServerID == 0
}

// listenForSuccessor listens on a socket in the directory that successors search. It returns nil if this process cannot
// hand over.
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

// predecessor is the link to the process that serves now, with the state that it has sent.
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

// run returns the predecessor, or nil if there is none. A running predecessor that does not hand over within patience
// is an error, because its idempotency keys are unknown here and it may be running them.
func (s predecessorSearch) run() (*predecessor, error) {
	if !handsOver(s.cfg) {
		return nil, nil //nolint:nilnil // no predecessor is not an error
	}
	deadline := time.Now().Add(s.patience)
	var reason error
	for {
		found, busy, err := s.tryAll(deadline)
		if found != nil || err != nil || busy == nil {
			return found, err
		}
		// Prefer the error of an earlier attempt over a timeout caused by our own deadline, which does not tell an
		// operator what is wrong with the process.
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

// tryAll tries each socket in the directory. busy is the error of the last one whose process may still hand over later.
func (s predecessorSearch) tryAll(deadline time.Time) (found *predecessor, busy, err error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		// Without the directory there can be no predecessor, and the server can serve without one.
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
			_ = os.Remove(path) // an error means that another process has removed it
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

// checkSocket returns errNoSocket if a path is not a socket of this user: the directory may be writable by other users,
// who could create sockets in it.
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

// receiveState identifies this process to the predecessor and receives its state, before the deadline.
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

// readMessage reads exactly one message, and no bytes after it. It also returns the message's size on the wire.
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
