package processtest

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pewterline/internal/protocol/thrift"
)

// ErrUnheard says that a connection ended before a request on it had its answer.
var ErrUnheard = errors.New("procs: the connection has ended without an answer")

var ids atomic.Uint64

// Conn is a proxy's connection.
type Conn struct {
	c       net.Conn
	mu      sync.Mutex
	seq     int32
	waiting map[int32]chan thrift.Reply
	bidden  bool // farewell has come: the peer wants no new request here
	ended   bool
}

// Dial opens a connection.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, Patience)
	if err != nil {
		return nil, err
	}
	k := &Conn{c: c, waiting: map[int32]chan thrift.Reply{}}
	go k.read()
	return k, nil
}

// Close ends it.
func (k *Conn) Close() { _ = k.c.Close() }

func (k *Conn) read() {
	var buf []byte
	more := make([]byte, 16<<10)
	defer k.end()
	for {
		payload, n, err := thrift.SplitFrame(buf)
		if err != nil {
			return
		}
		if payload == nil {
			got, err := k.c.Read(more)
			if err != nil {
				return
			}
			buf = append(buf, more[:got]...)
			continue
		}
		p, err := thrift.DecodeReply(append([]byte(nil), payload...))
		if err != nil {
			return
		}
		buf = buf[n:]
		k.mu.Lock()
		if p.Kind == thrift.ReplyFarewell {
			k.bidden = true
		} else if w := k.waiting[p.SequenceID]; w != nil {
			delete(k.waiting, p.SequenceID)
			w <- p
		}
		leave := k.bidden && len(k.waiting) == 0
		k.mu.Unlock()
		if leave { // as proxies do once everything is answered
			return
		}
	}
}

func (k *Conn) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for _, w := range k.waiting {
		close(w)
	}
	k.waiting = nil
	_ = k.c.Close()
}

// Usable says that a new request may come on it.
func (k *Conn) Usable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.bidden && !k.ended
}

// PendingRequest is a request that was sent.
type PendingRequest struct {
	ID string
	w  chan thrift.Reply
}

// Await waits for the answer.
func (a PendingRequest) Await() (thrift.Reply, error) {
	select {
	case p, ok := <-a.w:
		if !ok {
			return p, ErrUnheard
		}
		return p, nil
	case <-time.After(Patience):
		return thrift.Reply{}, errors.New("procs: no answer")
	}
}

// Request is a request of a proxy.
type Request struct {
	Class     string
	Key       string // its idempotency key; "": none
	Body      string
	ArrivedAt time.Time // at the proxy
	Retry     bool      // it is not the first attempt
}

// intakeClass is the class of the settings whose requests have an idempotency key.
const intakeClass = "lot-intake"

// NewIntake returns the first attempt of a request with an idempotency key, which is its body too. It arrives now.
func NewIntake(key string) Request {
	return Request{Class: intakeClass, Key: key, Body: key, ArrivedAt: time.Now()}
}

// Send sends a request.
func (k *Conn) Send(request Request) (PendingRequest, error) {
	id := fmt.Sprintf("%016x", ids.Add(1))
	fields := []thrift.Field{{Name: "class", Value: request.Class}, {Name: "id", Value: id},
		{Name: "at", Value: fmt.Sprint(request.ArrivedAt.UnixMilli())}, {Name: "from", Value: "1"}, {Name: "tenant", Value: "lake-vines"},
		{Name: "kb", Value: "9"}, {Name: "rank", Value: "0.9"}}
	if request.Key != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: request.Key})
	}
	if request.Retry {
		fields = append(fields, thrift.Field{Name: "retry", Value: "1"})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return PendingRequest{}, ErrUnheard
	}
	k.seq++
	w := make(chan thrift.Reply, 1)
	k.waiting[k.seq] = w
	if _, err := k.c.Write(thrift.AppendCall(nil, k.seq, fields, []byte(request.Body))); err != nil {
		delete(k.waiting, k.seq)
		return PendingRequest{}, ErrUnheard
	}
	return PendingRequest{id, w}, nil
}

// CheckHealth is a health check on a connection of its own.
func CheckHealth(addr string) (good bool, err error) {
	k, err := Dial(addr)
	if err != nil {
		return false, err
	}
	defer k.Close()
	k.mu.Lock()
	w := make(chan thrift.Reply, 1)
	k.waiting[1] = w
	_, err = k.c.Write(thrift.AppendProbe(nil, 1, false))
	k.mu.Unlock()
	if err != nil {
		return false, err
	}
	p, err := PendingRequest{w: w}.Await()
	return p.Good, err
}
