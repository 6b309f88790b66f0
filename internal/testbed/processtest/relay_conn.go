package processtest

import (
	"net"
	"time"
)

const (
	// relayChunkSize is the most that a relay reads at once.
	relayChunkSize = 16 << 10
	// maxQueuedChunks bounds what a direction holds; beyond it the sender has to wait, as at a full window.
	maxQueuedChunks = 1024
)

// chunk is what was read at once, and when it is due.
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

// relay carries an accepted connection to the target until it ends.
func (r *Relay) relay(accepted net.Conn) {
	dialed, err := net.DialTimeout("tcp", r.target, Patience)
	if err != nil {
		// The connection ends as a refused one does, only later.
		_ = accepted.Close()
		return
	}
	if !r.register(accepted, dialed) {
		closeBoth(accepted, dialed)
		return
	}
	// The connection owns this goroutine, which ends with it.
	go r.carry(accepted, dialed, Forward)
	r.carry(dialed, accepted, Backward)
	r.mu.Lock()
	delete(r.open, accepted)
	r.mu.Unlock()
}

// register keeps an open connection for Break and Close; false: the relay is closed.
func (r *Relay) register(accepted, dialed net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.open[accepted] = dialed
	return true
}

// carry carries the bytes of one direction until either connection ends or it is cut, and closes both.
func (r *Relay) carry(from, to net.Conn, direction RelayDirection) {
	queue := make(chan chunk, maxQueuedChunks)
	// carry owns this goroutine: closing from ends it.
	go r.readChunks(from, direction, queue)
	defer func() {
		closeBoth(from, to)
		for range queue { // The reader may wait for room.
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

// readChunks reads a connection to its end, and closes the queue.
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

// pass waits while a direction is held. It returns what passes of the data, the faults of the direction, and whether
// the connection ends after it.
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
