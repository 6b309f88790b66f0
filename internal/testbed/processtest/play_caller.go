package processtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pewterline/internal/protocol/thrift"
)

const (
	// maxPlayAttempts is how often a request is sent at most.
	maxPlayAttempts = 4
	// redialInterval is the pause after a connection was refused.
	redialInterval = 20 * time.Millisecond
	// maxRetryPauseMS bounds the pause before a retry.
	maxRetryPauseMS = 50
	// redialOdds is the chance, one in so many, that a caller opens another connection before an attempt.
	redialOdds = 4
)

// playCaller is a caller of a play: it sends requests one after the other, each again until it is served, to whatever
// process it reaches.
type playCaller struct {
	play   *serverPlay
	number int
	rng    *rand.Rand
	conn   *Conn // nil: none
}

func newPlayCaller(play *serverPlay, number int) *playCaller {
	return &playCaller{play: play, number: number, rng: rand.New(rand.NewPCG(play.script.Seed, uint64(number)))}
}

// run sends requests until the play has stopped.
func (c *playCaller) run() {
	for request := 0; !c.play.stopped.Load(); request++ {
		c.sendUntilServed(fmt.Sprintf("lot %d/%d", c.number, request))
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

// sendUntilServed sends a request until it is served, or has been sent often enough.
func (c *playCaller) sendUntilServed(body string) {
	for attempts := 0; attempts < maxPlayAttempts && !c.play.stopped.Load(); {
		if !c.connect() {
			// Nobody is there, so this is no attempt: what was open when the server died comes again once it is back.
			continue
		}
		attempts++
		if served := c.attempt(body); served {
			return
		}
	}
}

// connect opens a connection where none is usable, and now and then another one; false: it was refused.
func (c *playCaller) connect() bool {
	if c.conn != nil && c.conn.Usable() && c.rng.IntN(redialOdds) != 0 {
		return true
	}
	if c.conn != nil {
		c.conn.Close()
	}
	conn, err := Dial(c.play.server.Listen)
	if err != nil {
		c.conn = nil
		c.play.recorder.Update(func(o *Outcome) { o.Unanswered++ })
		time.Sleep(redialInterval)
		return false
	}
	c.conn = conn
	return true
}

// attempt sends a request once, and checks the reply; after a reply that is no result it waits a while.
func (c *playCaller) attempt(body string) (served bool) {
	sent := time.Now()
	pending, err := c.conn.Send(Request{Class: keyedClass, Key: body, Body: body, ArrivedAt: sent})
	var reply thrift.Reply
	if err == nil {
		reply, err = pending.Await()
	}
	c.play.finishRun(pending.ID)
	if err != nil {
		c.play.recorder.Update(func(o *Outcome) { o.Unanswered++ })
		return false
	}
	c.play.recorder.Update(func(o *Outcome) { o.Answered++ })
	switch reply.Kind {
	case thrift.ReplyAnswer:
		c.play.recorder.Update(func(o *Outcome) { o.Served++ })
		c.play.checkResult(body, string(reply.Body))
		return true
	case thrift.ReplyThrottled:
		c.play.recorder.Update(func(o *Outcome) { o.Rejected++ })
		c.play.checkRejection(body, sent)
	default: // It failed, or is not known.
	}
	time.Sleep(time.Duration(c.rng.IntN(maxRetryPauseMS)) * time.Millisecond)
	return false
}
