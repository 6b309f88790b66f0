package sockets

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// acceptBatch is how many queued connections of a closing listener are accepted at once. Each uses three
	// descriptors until it is registered with gnet. Without a limit the process could run out of descriptors, and gnet
	// would stop.
	acceptBatch = 4
	// maxDescriptors is how many descriptors are searched for that of a listener. A listener is opened early, so its
	// descriptor is low.
	maxDescriptors = 1024
)

var (
	errNoListenerAddress    = errors.New("the listener has no address")
	errNoListenerDescriptor = errors.New("the listener's descriptor was not found")
	errListenerNotClosable  = errors.New("the listener cannot be closed: its descriptor is unknown")
)

// listener is the address and the descriptor of one of gnet's listeners.
type listener struct {
	addr *net.TCPAddr // nil if there is no listener
	fd   int          // gnet's descriptor; 0 if it was not found
}

// Addr returns the address that a listener is bound to, or nil if there is no listener with that index.
func (l *Loop) Addr(index int) *net.TCPAddr { return l.driver.listeners[index].addr }

// findListener finds the bound address and the descriptor of a listener. The address may differ from the configured
// one, because the system may have chosen the port.
func findListener(engine gnet.Engine, addr string) (found listener, err error) {
	fd, err := engine.DupListener("tcp", addr)
	if err != nil {
		return found, err
	}
	defer closeDuplicate(fd)
	if found.addr = localAddr(fd); found.addr == nil {
		return found, errNoListenerAddress
	}
	found.fd, err = findOriginal(fd, found.addr)
	return found, err
}

// closeDuplicate closes a duplicate of a descriptor. Its error is ignored: the socket stays open under the original
// descriptor, and nothing was written to the duplicate.
func closeDuplicate(fd int) { _ = unix.Close(fd) }

// localAddr returns the address that a socket is bound to, or nil if it has none.
func localAddr(fd int) *net.TCPAddr {
	addr, err := unix.Getsockname(fd)
	if err != nil {
		return nil
	}
	switch addr := addr.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: addr.Addr[:], Port: addr.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: addr.Addr[:], Port: addr.Port}
	}
	return nil
}

// findOriginal finds the listener's descriptor that fd is a duplicate of. It must be called before any connection is
// accepted, because an accepted connection has the same local address.
func findOriginal(fd int, addr *net.TCPAddr) (int, error) {
	for candidate := range maxDescriptors {
		bound := localAddr(candidate)
		if candidate == fd || bound == nil || bound.Port != addr.Port || !bound.IP.Equal(addr.IP) {
			continue
		}
		socketType, err := unix.GetsockoptInt(candidate, unix.SOL_SOCKET, unix.SO_TYPE)
		if err == nil && socketType == unix.SOCK_STREAM {
			return candidate, nil
		}
	}
	return 0, errNoListenerDescriptor
}

// listenerOf returns the index of the listener that has accepted a connection. It compares their local addresses.
func (d *driver) listenerOf(conn gnet.Conn) int {
	local := localAddr(conn.Fd())
	if local == nil {
		return 0
	}
	for i, candidate := range d.listeners {
		addr := candidate.addr
		if addr != nil && addr.Port == local.Port && (addr.IP.Equal(local.IP) || addr.IP.IsUnspecified()) {
			return i
		}
	}
	return 0
}

// DirectConnections makes the kernel pass new connections of a listener to one of the processes that share its address
// by SO_REUSEPORT. process is the index of that process, in the order in which they started to listen. If there is no
// such process, the kernel distributes connections as usual.
func (l *Loop) DirectConnections(listener, process int) error {
	fd, err := l.driver.engine.DupListener("tcp", l.driver.options.Listen[listener])
	if err != nil {
		return fmt.Errorf("transport: direct connections: %w", err)
	}
	defer closeDuplicate(fd)
	filter := []unix.SockFilter{
		{Code: unix.BPF_RET | unix.BPF_K, K: uint32(process)},
	}
	if err := attachFilter(fd, unix.SO_ATTACH_REUSEPORT_CBPF, filter); err != nil {
		return fmt.Errorf("transport: direct connections: %w", err)
	}
	return nil
}

// attachFilter attaches a classic BPF program to a socket by the given socket option.
func attachFilter(fd, option int, filter []unix.SockFilter) error {
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, option, program)
}

// rejectHandshakes makes the kernel drop packets that begin a TCP handshake. Handshakes in progress are completed.
func rejectHandshakes(fd int) error {
	const (
		flagsOffset = 13 // in a TCP header
		synFlag     = 0x02
	)
	return attachFilter(fd, unix.SO_ATTACH_FILTER, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	})
}

// CloseListener implements transport.Driver. It first drops new handshakes, so that no connection can enter the accept
// queue between the last accept and the close: a peer that connects meanwhile gets no response, and is refused when it
// repeats its SYN. It accepts the queued connections itself, because gnet accepts one connection per
// poll and offers no way to accept the rest.
func (d *driver) CloseListener(index int, done func()) {
	fd, err := d.engine.DupListener("tcp", d.options.Listen[index])
	if err == nil && d.listeners[index].fd == 0 {
		err = errors.Join(errListenerNotClosable, unix.Close(fd))
	}
	if err != nil {
		d.logListenerError(err)
		done()
		return
	}
	// The error is ignored, because not every system supports the filter. Without it, a connection that arrives between
	// the last accept and the close is reset.
	_ = rejectHandshakes(fd)
	d.drainListener(&closingListener{fd: fd, index: index, done: done})
}

// closingListener is a listener whose queued connections are being accepted before it is closed.
type closingListener struct {
	fd     int // a duplicate of the listener's descriptor
	index  int
	rounds int // number of batches accepted so far
	done   func()
}

// drainListener accepts the queued connections of a listener, one batch per turn. It closes the listener when it finds
// the queue empty, but not in the first turn.
func (d *driver) drainListener(closing *closingListener) {
	queued, err := acceptQueued(closing.fd)
	if err != nil {
		d.logListenerError(err)
	}
	if closing.rounds > 0 && len(queued) == 0 {
		if err := d.replaceListener(closing); err != nil {
			d.logListenerError(err)
		}
		closing.done()
		return
	}
	// register must not be called on the loop, so this goroutine registers the batch and ends after it.
	go func() {
		for _, conn := range queued {
			if err := d.register(conn, &socket{driver: d, listener: closing.index}); err != nil {
				d.logListenerError(err)
			}
		}
		err := d.Queue(func() {
			closing.rounds++
			d.drainListener(closing)
		})
		if err != nil { // the loop has ended
			closeDuplicate(closing.fd)
		}
	}()
}

// logListenerError logs an error that occurred while a listener was closed.
func (d *driver) logListenerError(err error) {
	d.options.Logf("transport: close listener: error=%v", err)
}

// acceptQueued accepts at most acceptBatch queued connections of a listener.
func acceptQueued(listenerFD int) (queued []net.Conn, err error) {
	for len(queued) < acceptBatch {
		fd, _, err := unix.Accept4(listenerFD, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.ECONNRESET):
			continue
		case errors.Is(err, unix.EAGAIN):
			return queued, nil
		default:
			return queued, fmt.Errorf("accept: %w", err)
		}
		file := os.NewFile(uintptr(fd), "connection")
		conn, err := net.FileConn(file) // duplicates the descriptor
		if err = errors.Join(err, file.Close()); err != nil {
			return queued, err
		}
		queued = append(queued, conn)
	}
	return queued, nil
}

// replaceListener closes a drained listener. gnet cannot close a listener while it serves, so another socket replaces
// it under the same descriptor. This removes the listener from the poller, and gnet closes the replacement when it
// stops.
func (d *driver) replaceListener(closing *closingListener) error {
	if err := unix.Close(closing.fd); err != nil {
		return err
	}
	replacement, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer closeDuplicate(replacement)
	return unix.Dup3(replacement, d.listeners[closing.index].fd, unix.O_CLOEXEC)
}
