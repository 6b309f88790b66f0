package processtest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pewterline/internal/protocol/thrift"
)

const (
	// maxPlayAttempts bounds the number of attempts of a request.
	maxPlayAttempts = 4
	// redialInterval is the pause after a refused connection.
	redialInterval = 20 * time.Millisecond
	// maxRetryPauseMS bounds the pause before a retry.
	maxRetryPauseMS = 50
	// redialOdds: a caller opens a new connection before one in redialOdds attempts, on average.
	redialOdds = 4
	// overlapOdds: a caller sends one in overlapOdds attempts together with further ones, on average.
	overlapOdds = 4
	// maxOverlapping bounds the number of attempts that are sent together.
	maxOverlapping = 3
	// maxCancelDelayMS bounds the time after which one of them is cancelled.
	maxCancelDelayMS = 30
	// repeatOdds: a caller sends one in repeatOdds requests again after it was served, on average.
	repeatOdds = 4
)

// playCaller is a caller of a play. It sends requests one after the other to whichever process accepts its connection,
// and retries each until it is served. Some attempts of a request overlap: they reach the server together, as after a
// stall of the network.
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

// sendUntilServed sends a request until it is served or maxPlayAttempts is reached.
func (c *playCaller) sendUntilServed(body string) {
	for attempts := 0; attempts < maxPlayAttempts && !c.play.stopped.Load(); {
		if !c.connect() {
			// A refused connection does not count as an attempt: requests that were in flight when the server was
			// killed are retried once it runs again.
			continue
		}
		attempts++
		if !c.sendAttempts(body) {
			continue
		}
		if c.rng.IntN(repeatOdds) != 0 || !c.connect() {
			return
		}
		c.sendAttempts(body)
		return
	}
}

// sendAttempts sends one attempt of a request, or several together, and reports whether it was served.
func (c *playCaller) sendAttempts(body string) (served bool) {
	if c.rng.IntN(overlapOdds) == 0 {
		return c.sendOverlapping(body)
	}
	return c.sendAttempt(body)
}

// sendOverlapping sends several attempts of a request in one write, cancels one of them, and checks the replies to the
// others. It pauses if none has a result.
func (c *playCaller) sendOverlapping(body string) (served bool) {
	sent := time.Now()
	attempts := make([]Request, 2+c.rng.IntN(maxOverlapping-1))
	for i := range attempts {
		attempts[i] = Request{Class: keyedClass, Key: body, Body: body, ArrivedAt: sent, Retry: i > 0}
	}
	all, err := c.conn.SendTogether(attempts...)
	if err != nil {
		c.play.recorder.Update(func(o *Outcome) { o.Unanswered++ })
		return false
	}
	time.Sleep(time.Duration(c.rng.IntN(maxCancelDelayMS)) * time.Millisecond)
	cancelled := c.rng.IntN(len(all))
	all[cancelled].Cancel()
	c.play.finishRun(all[cancelled].ID)
	for _, pending := range slices.Delete(all, cancelled, cancelled+1) {
		served = c.awaitReply(pending, body, sent) || served
	}
	if !served {
		c.pauseBeforeRetry()
	}
	return served
}

// connect opens a connection if none is usable, and at random also if one is. It returns false if the connection is
// refused.
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

// sendAttempt sends a request once, and checks the reply. It pauses after a reply without a result.
func (c *playCaller) sendAttempt(body string) (served bool) {
	sent := time.Now()
	pending, err := c.conn.Send(Request{Class: keyedClass, Key: body, Body: body, ArrivedAt: sent})
	if err != nil {
		c.play.recorder.Update(func(o *Outcome) { o.Unanswered++ })
		return false
	}
	if c.awaitReply(pending, body, sent) {
		return true
	}
	c.pauseBeforeRetry()
	return false
}

func (c *playCaller) pauseBeforeRetry() {
	time.Sleep(time.Duration(c.rng.IntN(maxRetryPauseMS)) * time.Millisecond)
}

// awaitReply awaits and checks the reply to an attempt that was sent at a time.
func (c *playCaller) awaitReply(pending PendingRequest, body string, sent time.Time) (served bool) {
	reply, err := pending.Await()
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
	default: // The request failed, or its outcome is unknown.
	}
	return false
}
