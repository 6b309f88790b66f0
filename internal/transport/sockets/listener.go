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
	// descriptors until gnet has taken it over; without a limit the process could run out of them, and gnet would stop.
	acceptBatch = 4
	// maxDescriptor is the number of descriptors that are searched for a listener's, which is one of the first.
	maxDescriptor = 1024
)

var (
	errNoListenerAddress    = errors.New("the listener has no address")
	errNoListenerDescriptor = errors.New("the listener's descriptor is not found")
	errListenerNotClosable  = errors.New("the listener can't be closed: its descriptor is not known")
)

// listener is one of gnet's listeners as the system knows it.
type listener struct {
	addr *net.TCPAddr // nil: there is no listener
	fd   int          // gnet's descriptor; 0: not found
}

// Addr returns the address that a listener is bound to; nil: there is no listener at that index.
func (l *Loop) Addr(index int) *net.TCPAddr { return l.driver.listeners[index].addr }

// findListener asks the system for the address of a listener, because the system may have chosen the port.
func findListener(engine gnet.Engine, addr string) (found listener, err error) {
	fd, err := engine.DupListener("tcp", addr)
	if err != nil {
		return found, err
	}
	defer closeCopy(fd)
	if found.addr = localAddr(fd); found.addr == nil {
		return found, errNoListenerAddress
	}
	found.fd, err = originalOf(fd, found.addr)
	return found, err
}

// closeCopy closes a copy of a descriptor. Its error is ignored: the socket stays open under the original, and nothing
// was written to the copy.
func closeCopy(fd int) { _ = unix.Close(fd) }

// localAddr returns the address that a socket is bound to; nil: it has none.
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

// originalOf finds the descriptor of which fd, of a listener, is a copy. It must be called before any connection is
// accepted: an accepted connection has the same local address.
func originalOf(fd int, addr *net.TCPAddr) (int, error) {
	for candidate := range maxDescriptor {
		bound := localAddr(candidate)
		if candidate == fd || bound == nil || bound.Port != addr.Port || !bound.IP.Equal(addr.IP) {
			continue
		}
		kind, err := unix.GetsockoptInt(candidate, unix.SOL_SOCKET, unix.SO_TYPE)
		if err == nil && kind == unix.SOCK_STREAM {
			return candidate, nil
		}
	}
	return 0, errNoListenerDescriptor
}

// listenerOf returns the index of the listener that has accepted a connection, found by its local address.
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
// by SO_REUSEPORT. place is the index of that process, in the order in which they started to listen. If there is no
// such process, the kernel distributes connections as usual.
func (l *Loop) DirectConnections(listener, process int) error {
	fd, err := l.driver.engine.DupListener("tcp", l.driver.options.Listen[listener])
	if err != nil {
		return fmt.Errorf("transport: direct connections: %w", err)
	}
	defer closeCopy(fd)
	filter := []unix.SockFilter{
		{Code: unix.BPF_RET | unix.BPF_K, K: uint32(process)},
	}
	if err := attachFilter(fd, unix.SO_ATTACH_REUSEPORT_CBPF, filter); err != nil {
		return fmt.Errorf("transport: direct connections: %w", err)
	}
	return nil
}

// attachFilter attaches a classic BPF program to a socket. option is the socket option that does so.
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

// CloseListener is part of transport.Driver. New handshakes are dropped first, so that no connection can enter the
// queue between the last accept and the close: a peer that connects meanwhile gets no answer, and is refused when it
// repeats its SYN. The queue is accepted here, because gnet accepts one connection in a round of its poller and offers
// no way to accept the rest.
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
	// Not every system supports this. Without it, a connection that arrives between the last accept and the close is
	// reset.
	_ = rejectHandshakes(fd)
	d.drainListener(&closingListener{fd: fd, index: index, done: done})
}

// closingListener is a listener whose queued connections are being accepted before it is closed.
type closingListener struct {
	fd     int // a copy of its descriptor
	index  int
	rounds int // of accepts so far
	done   func()
}

// drainListener accepts the queued connections of a listener, one batch in a turn. It closes the listener in the first
// round after the first in which the queue is empty.
func (d *driver) drainListener(closing *closingListener) {
	waiting, err := acceptWaiting(closing.fd)
	if err != nil {
		d.logListenerError(err)
	}
	if closing.rounds > 0 && len(waiting) == 0 {
		if err := d.endListener(closing); err != nil {
			d.logListenerError(err)
		}
		closing.done()
		return
	}
	// register must not be called on the loop. The goroutine ends with the batch.
	go func() {
		for _, conn := range waiting {
			if err := d.register(conn, &socket{driver: d, listener: closing.index}); err != nil {
				d.logListenerError(err)
			}
		}
		err := d.Queue(func() {
			closing.rounds++
			d.drainListener(closing)
		})
		if err != nil { // the loop has ended
			closeCopy(closing.fd)
		}
	}()
}

// logListenerError logs an error in the closing of a listener.
func (d *driver) logListenerError(err error) {
	d.options.Logf("transport: close listener: error=%v", err)
}

// acceptWaiting accepts at most acceptBatch queued connections of a listener.
func acceptWaiting(listenerFD int) (waiting []net.Conn, err error) {
	for len(waiting) < acceptBatch {
		fd, _, err := unix.Accept4(listenerFD, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.ECONNRESET):
			continue
		case errors.Is(err, unix.EAGAIN):
			return waiting, nil
		default:
			return waiting, fmt.Errorf("accept: %w", err)
		}
		file := os.NewFile(uintptr(fd), "connection")
		conn, err := net.FileConn(file) // a copy
		if err = errors.Join(err, file.Close()); err != nil {
			return waiting, err
		}
		waiting = append(waiting, conn)
	}
	return waiting, nil
}

// endListener closes a listener. gnet cannot close one while it serves, so another file replaces it under the same
// descriptor. This removes the listener from the poller, and gnet closes the replacement in the end.
func (d *driver) endListener(closing *closingListener) error {
	if err := unix.Close(closing.fd); err != nil {
		return err
	}
	replacement, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer closeCopy(replacement)
	return unix.Dup3(replacement, d.listeners[closing.index].fd, unix.O_CLOEXEC)
}
