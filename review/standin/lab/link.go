package lab

import (
	"net"
	"sync"
)

// Link is a TCP link to an address that can stall: while it does, it stays open and keeps what is written to it, in
// both directions, and passes it on when it resumes.
type Link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	resumed  *sync.Cond
	stalled  bool
}

// StartLink makes a link to an address.
func StartLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target}
	l.resumed = sync.NewCond(&l.mu)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go l.pass(near, far)
			go l.pass(far, near)
		}
	}()
	return l, nil
}

// Address returns the near end of the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Stall stalls or resumes the link.
func (l *Link) Stall(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
	l.resumed.Broadcast()
}

// pass copies from one end to the other. What has arrived during a stall is passed on in one piece.
func (l *Link) pass(from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	var mu sync.Mutex
	var kept []byte
	ended := false
	arrived := sync.NewCond(&mu)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			mu.Lock()
			kept = append(kept, buffer[:n]...)
			ended = err != nil
			arrived.Signal()
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	for {
		mu.Lock()
		for len(kept) == 0 && !ended {
			arrived.Wait()
		}
		done := len(kept) == 0
		mu.Unlock()
		if done {
			return
		}
		l.mu.Lock()
		for l.stalled {
			l.resumed.Wait()
		}
		l.mu.Unlock()
		mu.Lock()
		out := kept
		kept = nil
		mu.Unlock()
		if _, err := to.Write(out); err != nil {
			return
		}
	}
}
