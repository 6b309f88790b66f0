package main

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"pewterline/internal/protocol/thrift"
)

const (
	intakeClass = "lot-intake" // its requests have an idempotency key
	readClass   = "block-view" // safe to repeat
	// dialTimeout is how long a proxy waits for a connection.
	dialTimeout = time.Second
	// queuedKB is the memory that is booked for a held request, in KB.
	queuedKB = "24.5"
	// firstSequenceID is the number of the first request on a connection; each try has a connection of its own.
	firstSequenceID = 1
	// answerLimit is how long a proxy waits for an answer: the deadline of the classes, with the slack of 100 ms of the
	// settings and of 50 ms on sockets.
	answerLimit = 4650 * time.Millisecond
)

// lastRequestID is the number of the latest try. It is new with every try.
var lastRequestID atomic.Uint64

// try is one try of a request, as a proxy sends it.
type try struct {
	class string
	key   string // the same for all tries of one request; "": none
	body  string
	retry bool // a further try
}

// answer is the one answer to a try.
type answer struct {
	kind string // "served", "refused", "failed", or why there is none
	body string // of a served request
	took time.Duration
}

func (a answer) served() bool { return a.kind == "served" }

// final reports whether the answer is a final one.
func (a answer) final() bool { return a.kind == "served" || a.kind == "refused" || a.kind == "failed" }

// pending is a try that was sent.
type pending struct {
	id     string
	sentAt time.Time
	conn   net.Conn
	answer chan answer // gets one value
}

// giveUp tells the log server that the proxy no longer waits. No answer is owed from then on.
func (p *pending) giveUp(w *world) error {
	w.notef("gave up %s", p.id)
	_, err := p.conn.Write(thrift.AppendGiveUp(nil, firstSequenceID))
	return err
}

// fields returns the fields of a try that comes to the machine now.
func (t try) fields(id string) []thrift.Field {
	fields := []thrift.Field{
		{Name: "class", Value: t.class}, {Name: "id", Value: id},
		{Name: "at", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "from", Value: "1"},
		{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: queuedKB}, {Name: "rank", Value: "0.9"},
	}
	if t.key != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: t.key})
	}
	if t.retry {
		fields = append(fields, thrift.Field{Name: "retry", Value: "1"})
	}
	return fields
}

// send sends a try on a new connection, and waits for its answer in the background, for answerLimit at most.
func (w *world) send(address string, t try) (*pending, error) {
	id := fmt.Sprintf("%016x", lastRequestID.Add(1))
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(thrift.AppendCall(nil, firstSequenceID, t.fields(id), []byte(t.body))); err != nil {
		return nil, err
	}
	sent := &pending{id: id, sentAt: time.Now(), conn: conn, answer: make(chan answer, 1)}
	w.notef("sent %s to %s: %s key %q body %q retry %v", id, address, t.class, t.key, t.body, t.retry)
	go func() { // ends with the answer, the connection or the limit
		got := readAnswer(conn, sent.sentAt.Add(answerLimit))
		got.took = time.Since(sent.sentAt)
		w.notef("answer to %s after %v: %s %q", id, got.took.Round(time.Millisecond), got.kind, got.body)
		sent.answer <- got
	}()
	return sent, nil
}

// ask sends a try and waits for its answer.
func (w *world) ask(address string, t try) (answer, error) {
	sent, err := w.send(address, t)
	if err != nil {
		return answer{}, err
	}
	return <-sent.answer, nil
}

// readAnswer reads the answer on a connection and closes it. A farewell does not end the wait: the connection stays
// until everything on it is answered.
func readAnswer(conn net.Conn, until time.Time) answer {
	defer func() { _ = conn.Close() }() // nothing is left to write
	if err := conn.SetReadDeadline(until); err != nil {
		return answer{kind: "none: " + err.Error()}
	}
	var received []byte
	chunk := make([]byte, readSize)
	for {
		payload, size, err := thrift.SplitFrame(received)
		if err != nil {
			return answer{kind: "none: " + err.Error()}
		}
		if payload == nil {
			n, err := conn.Read(chunk)
			if err != nil {
				return answer{kind: "none: " + err.Error()}
			}
			received = append(received, chunk[:n]...)
			continue
		}
		reply, err := thrift.DecodeReply(payload)
		if err != nil {
			return answer{kind: "none: " + err.Error()}
		}
		received = received[size:]
		if reply.Kind != thrift.ReplyFarewell {
			return answerOf(reply)
		}
	}
}

func answerOf(reply thrift.Reply) answer {
	switch reply.Kind {
	case thrift.ReplyAnswer:
		return answer{kind: "served", body: string(reply.Body)}
	case thrift.ReplyThrottled:
		return answer{kind: "refused"}
	default: // Broken or an application exception
		return answer{kind: "failed", body: reply.Text}
	}
}
