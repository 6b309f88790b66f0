package fakes

import (
	"fmt"
	"math"

	"pewterline/control"
	"pewterline/internal/microtime"
)

const (
	maxAttempts = 4
	// jobLifetime is how long after its start a job is still sent.
	jobLifetime = 13 * microtime.Second
	// emptyListPause is the pause before a caller that knows no server looks again.
	emptyListPause = 200 * microtime.Millisecond
	// minRejectedPause is the least pause before a rejected attempt is retried.
	minRejectedPause = 10 * microtime.Millisecond
	// rejectedJitter is up to how much longer that pause is.
	rejectedJitter = 50 * microtime.Millisecond
	// failedJitter is the longest pause before a failed attempt is retried.
	failedJitter = 400 * microtime.Millisecond
	// handoverJitter is the longest pause before the caller of the other protocol retries it.
	handoverJitter = 300 * microtime.Millisecond
	// anyClass has newJob draw a class.
	anyClass = -1
)

// job is a request over all its attempts.
type job struct {
	class          int
	tenant         string
	idempotencyKey string
	body           []byte
	sizeKB         float64
	rank           float64
	size           float64 // of its work, times its class's average; 0: nobody says
	sizeHint       float64 // the size that the caller states
	startedAt      microtime.Time
	attempts       int
	sticky         string // a server that may have run it
	avoid          string // a server that has rejected or failed it
}

// scheduleJob plans the next job, and the ones after it.
func (c *Caller) scheduleJob() {
	incarnation := c.incarnation
	if c.rate <= 0 {
		return
	}
	c.env.World.In(microtime.Time(c.rng.ExpFloat64()*1e6/c.rate), func() {
		if !c.alive(incarnation) || c.env.World.Now() > c.until {
			return
		}
		c.scheduleJob()
		c.startJobs()
	})
}

// startJobs sends one job, or more where a flood has a tenant, or a class where there are no tenants, send more at
// once.
func (c *Caller) startJobs() {
	if c.env.Deployment.Vault {
		class := c.newJob("", anyClass)
		for range c.floodSize(c.env.Settings.Classes[class].Name) - 1 {
			c.newJob("", class)
		}
		return
	}
	tenants := c.env.Settings.Tenants
	tenant := tenants[c.rng.IntN(len(tenants))].Name
	for range c.floodSize(tenant) {
		c.newJob(tenant, anyClass)
	}
}

// floodSize is how many jobs of a tenant or class come in place of one.
func (c *Caller) floodSize(source string) int {
	if factor := c.env.TrafficFactor[source]; factor > 1 {
		return int(factor + c.rng.Float64())
	}
	return 1
}

// newJob draws a job of a class, or of any, and sends it off. It returns the class.
func (c *Caller) newJob(tenant string, class int) int {
	started := &job{
		tenant:    tenant,
		sizeKB:    13 + 50*c.rng.Float64(),
		startedAt: c.env.World.Now(),
		class:     class,
	}
	if class == anyClass {
		started.class = c.env.Deployment.drawClass(c.rng)
	}
	started.body = c.drawBody()
	lowestRank := []float64{0, 0.333, 0.667}[started.class]
	started.rank = lowestRank + 0.333*c.rng.Float64()
	if c.hasKey(started) {
		started.idempotencyKey = fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64())
	}
	if c.env.Deployment.Vault {
		started.size = drawSize(c.rng)
		started.sizeHint = started.size * math.Exp(0.4*c.rng.NormFloat64())
	}
	c.env.Asked[c.classOf(started).Name]++
	c.env.WeightAsked += c.weight(started)
	c.dispatch(started)
	return started.class
}

// drawBody draws the body of a job.
func (c *Caller) drawBody() []byte {
	body := make([]byte, 16+c.rng.IntN(180))
	for i := range body {
		body[i] = byte('a' + c.rng.IntN(26))
	}
	return body
}

// classOf is the class of a job in the settings.
func (c *Caller) classOf(sent *job) control.Class { return c.env.Settings.Classes[sent.class] }

// weight is what a job counts if it is served within its objective.
func (c *Caller) weight(sent *job) float64 {
	weight := c.classOf(sent).Weight
	if c.env.Settings.WeightPerWork {
		weight *= sent.size
	}
	return weight
}

// hasKey reports whether a job has an idempotency key.
func (c *Caller) hasKey(sent *job) bool {
	return c.classOf(sent).Idempotency == control.IdempotentByKey
}

// deadline is how long an attempt of a job may take.
func (c *Caller) deadline(sent *job) microtime.Time {
	return microtime.FromDuration(c.classOf(sent).Deadline)
}

// dispatch sends a job to the server that may have run it, or to one of the list. A job is dropped where no server
// allows it, where it is too old or was sent too often, or where all connections are full.
func (c *Caller) dispatch(sent *job) {
	server := sent.sticky
	if server == "" {
		if len(c.endpoints) == 0 {
			c.retry(sent, emptyListPause)
			return
		}
		server = c.chooseServer(sent)
		if server == "" {
			return
		}
	}
	sent.attempts++
	if sent.attempts > maxAttempts || c.env.World.Now() > sent.startedAt+jobLifetime {
		return
	}
	conn := c.connTo(server)
	switch {
	case conn == nil:
	case conn.stream == nil:
		conn.waiting = append(conn.waiting, sent)
	default:
		conn.send(sent)
	}
}

// chooseServer draws a server of the list, with a second draw where the first is one to avoid; empty where none
// allows the job.
func (c *Caller) chooseServer(sent *job) string {
	server := c.randomEndpoint()
	if server == sent.avoid {
		server = c.randomEndpoint()
	}
	if c.env.Deployment.Vault {
		return c.allowedServer(server)
	}
	return server
}

// retry dispatches a job again after a pause.
func (c *Caller) retry(sent *job, pause microtime.Time) {
	incarnation := c.incarnation
	c.env.World.In(pause, func() {
		if c.alive(incarnation) && c.env.World.Now() < sent.startedAt+jobLifetime {
			c.dispatch(sent)
		}
	})
}

// attemptServed counts a job that got its result.
func (c *Caller) attemptServed(sent *job) {
	now := c.env.World.Now()
	class := c.classOf(sent)
	c.env.Served[class.Name]++
	if now <= sent.startedAt+microtime.FromDuration(class.LatencyObjective) {
		c.env.WeightServed += c.weight(sent)
	} else if now <= sent.startedAt+c.deadline(sent) {
		c.env.WeightServed += c.weight(sent) * class.LateWeightShare
	}
}

// attemptRejected goes on after an attempt that never ran.
func (c *Caller) attemptRejected(sent *job, server string, final answer) {
	sent.avoid = server
	switch {
	case c.faults.retryAtOnceUntil > c.env.World.Now():
		c.retry(sent, 0)
	case final.noRetry && sent.sticky == "": // the job is dropped
	default:
		c.retry(sent, max(final.retryAfter, minRejectedPause)+randomUpTo(c.rng, rejectedJitter))
	}
}

// attemptFailed goes on after an attempt that may have run: a job that must not run twice is dropped, and so are
// half of those that may.
func (c *Caller) attemptFailed(sent *job, server string) {
	if c.classOf(sent).Idempotency == control.NonIdempotent {
		return
	}
	if c.hasKey(sent) {
		sent.sticky = server
		if c.OtherProtocol != nil && c.rng.IntN(3) == 0 && c.OtherProtocol.node.Up() {
			c.OtherProtocol.retry(sent, randomUpTo(c.rng, handoverJitter))
			return
		}
	} else if c.rng.IntN(2) == 0 {
		return
	}
	sent.avoid = server
	c.retry(sent, randomUpTo(c.rng, failedJitter))
}
