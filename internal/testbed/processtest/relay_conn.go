package processtest

import (
	"net"
	"time"
)

const (
	// relayChunkSize is the buffer size of a relay's read, in bytes.
	relayChunkSize = 16 << 10
	// maxQueuedChunks bounds the queue of a direction. Beyond it the relay reads no more, so that the sender blocks as
	// it does on a full TCP window.
	maxQueuedChunks = 1024
)

// chunk is the data of one read, and the time at which it is due to be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

func (r *Relay) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		// The connection owns this goroutine, which ends with it.
		go r.relay(accepted)
	}
}

// relay forwards an accepted connection to the target until it ends.
func (r *Relay) relay(accepted net.Conn) {
	dialed, err := net.DialTimeout("tcp", r.target, WaitTimeout)
	if err != nil {
		// The target cannot be reached. A failure to close needs no handling: the client detects the end.
		_ = accepted.Close()
		return
	}
	if !r.register(accepted, dialed) {
		closeBoth(accepted, dialed)
		return
	}
	// The connection owns this goroutine, which ends with it.
	go r.forward(accepted, dialed, Forward)
	r.forward(dialed, accepted, Backward)
	r.mu.Lock()
	delete(r.open, accepted)
	r.mu.Unlock()
}

// register adds an open connection for CloseConnections and Close. It returns false if the relay is closed.
func (r *Relay) register(accepted, dialed net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.open[accepted] = dialed
	return true
}

// forward forwards the data of one direction until either connection ends or the direction is cut, and closes both.
func (r *Relay) forward(from, to net.Conn, direction RelayDirection) {
	queue := make(chan chunk, maxQueuedChunks)
	// forward owns this goroutine; it ends when from is closed.
	go r.readChunks(from, direction, queue)
	defer func() {
		closeBoth(from, to)
		for range queue { // The reader may be blocked on a full queue.
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		data, faults, end := r.pass(next.data, direction)
		if !faults.drop && len(data) > 0 {
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		if end {
			return
		}
		if faults.bandwidth > 0 {
			time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(faults.bandwidth))
		}
	}
}

// readChunks queues the data of a connection until the connection ends, and closes the queue.
func (r *Relay) readChunks(from net.Conn, direction RelayDirection, queue chan<- chunk) {
	defer close(queue)
	for {
		data := make([]byte, relayChunkSize)
		n, err := from.Read(data)
		if n > 0 {
			queue <- chunk{data: data[:n], due: time.Now().Add(r.delay(direction))}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) delay(direction RelayDirection) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directions[direction].delay
}

// pass waits while a direction is held. It returns the part of the data to forward, the faults of the direction, and
// whether to close the connection afterwards.
func (r *Relay) pass(data []byte, direction RelayDirection) (passed []byte, faults directionFaults, end bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.directions[direction].hold && !r.closed {
		r.changed.Wait()
	}
	current := &r.directions[direction]
	end = r.closed
	if current.cutAfter >= 0 {
		if len(data) >= current.cutAfter {
			data = data[:current.cutAfter]
			end = true
		}
		current.cutAfter -= len(data)
		if end {
			current.cutAfter = neverCut
		}
	}
	return data, *current, end
}
