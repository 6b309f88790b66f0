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
	// predecessorTimeout limits how long a starting process waits for a predecessor that does not answer or is still
	// busy with another upgrade.
	predecessorTimeout = 5 * time.Second
	// predecessorRetryInterval is the pause between two attempts to reach a predecessor.
	predecessorRetryInterval = 100 * time.Millisecond
	// maxStateBytes limits the state that a predecessor may send: mainly the idempotency keys of a retention window.
	maxStateBytes = 64 << 20
	// messageHeaderSize is the size of a message's length on the wire, in bytes.
	messageHeaderSize = 4
	// socketPermissions allow only this user to connect, because any process that connects can take over.
	socketPermissions = 0o600
)

var (
	// errCannotTakeOver means that there is a running process from which this one cannot take over.
	errCannotTakeOver = errors.New("upgrade: a process of this name lives that cannot be taken over from")
	// errRejected means that a predecessor rejected the handoff to this process.
	errRejected = errors.New("refused")
	// errNotOwnSocket means that a path is not a socket of this user.
	errNotOwnSocket = errors.New("not a socket of this user")
)

// socketPrefix returns the common prefix of the names of the sockets on which the processes of one server, identified
// by its name and its listen address, wait for a successor. Each process adds a unique suffix, so that a process that
// ends cannot remove the socket of another. A process ID is no such suffix, because process IDs are reused.
func socketPrefix(cfg config.Config) string {
	return fmt.Sprintf("pewterline-%08x-", uint32(xxhash.Sum64String(cfg.Name+" "+cfg.Listen)))
}

// supportsHotRestart reports whether the server supports hot restarts. They need an operators' listener, to ask a
// successor whether it is ready. A replica does not support them, because only one process can open the write-ahead
// log.
func supportsHotRestart(cfg config.Config) bool {
	return cfg.AdminAddress != "" && cfg.Replication.ServerID == 0
}

// listenForSuccessor listens on a socket in the directory that successors search. It returns nil if the server does not
// support hot restarts or the socket cannot be opened.
func listenForSuccessor(dir string, cfg config.Config, logger *zap.Logger) net.Listener {
	if !supportsHotRestart(cfg) {
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

// predecessor is the connection to the process that serves now, with the state that it has sent.
type predecessor struct {
	path     string // of its socket
	conn     net.Conn
	messages []upgrade.Message
}

// predecessorSearch looks for a process to take over from.
type predecessorSearch struct {
	dir     string // where predecessors listen
	cfg     config.Config
	timeout time.Duration // for the whole search
	logger  *zap.Logger
}

// run returns the predecessor, or nil if there is none. It returns an error if a predecessor is running but does not
// send its state within the timeout: this process would not know its idempotency keys, and could run a request that the
// predecessor is running.
func (s predecessorSearch) run() (*predecessor, error) {
	if !supportsHotRestart(s.cfg) {
		return nil, nil //nolint:nilnil // no predecessor is not an error
	}
	deadline := time.Now().Add(s.timeout)
	var reason error
	for {
		found, retryable, err := s.tryAll(deadline)
		if found != nil || err != nil || retryable == nil {
			return found, err
		}
		// Prefer the error of an earlier attempt over a timeout caused by our own deadline, which does not tell an
		// operator what is wrong with the process.
		if reason == nil || !isTimeout(retryable) {
			reason = retryable
		}
		if time.Now().Add(predecessorRetryInterval).After(deadline) {
			return nil, fmt.Errorf("%w: %w", errCannotTakeOver, reason)
		}
		time.Sleep(predecessorRetryInterval)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// tryAll tries to connect to the process behind each socket in the directory. retryable is the last error after which a
// later attempt may succeed.
func (s predecessorSearch) tryAll(deadline time.Time) (found *predecessor, retryable, err error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		// Without the directory there can be no predecessor, and the server can serve without one.
		s.logger.Warn("cannot search for a predecessor", zap.Error(err))
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
		case errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, errNotOwnSocket):
			s.logger.Warn("path skipped, not a socket of this user", zap.String("path", path))
		case errors.Is(err, upgrade.ErrVersionMismatch):
			return nil, nil, fmt.Errorf("%w: %s: %w", errCannotTakeOver, path, err)
		default:
			retryable = fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil, retryable, nil
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

// checkSocket returns errNotOwnSocket if a path is not a socket of this user: the directory may be writable by other
// users, who could create sockets in it.
func checkSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if info.Mode()&fs.ModeSocket == 0 || ok && int(stat.Uid) != os.Geteuid() {
		return errNotOwnSocket
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
			return nil, fmt.Errorf("%w: the state exceeds %d bytes", upgrade.ErrMalformedFrame, maxStateBytes)
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
