package fakes

import (
	"fmt"
	"math"

	"pewterline/control"
	"pewterline/internal/microtime"
)

const (
	maxAttempts = 4
	// jobLifetime is how long after its start a job may be sent.
	jobLifetime = 13 * microtime.Second
	// emptyEndpointsPause is the pause before a caller with an empty endpoint list tries again.
	emptyEndpointsPause = 200 * microtime.Millisecond
	// minRejectedPause is the minimum pause before a rejected attempt is retried, without jitter.
	minRejectedPause = 10 * microtime.Millisecond
	// rejectedJitter is the maximum random addition to that pause.
	rejectedJitter = 50 * microtime.Millisecond
	// failedJitter is the longest pause before a failed attempt is retried.
	failedJitter = 400 * microtime.Millisecond
	// otherProtocolJitter is the longest pause before the caller with the other protocol retries a failed attempt.
	otherProtocolJitter = 300 * microtime.Millisecond
	// anyClass makes newJob choose a random class.
	anyClass = -1
)

// job is a piece of work that a caller requests, in one or more attempts.
type job struct {
	class          int
	tenant         string
	idempotencyKey string
	body           []byte
	sizeKB         float64
	priority       float64
	size           float64 // work as a multiple of the class's average; 0 if the worker pool is to choose it
	sizeHint       float64 // the size according to the caller
	startedAt      microtime.Time
	attempts       int
	served         bool   // a result was received; answers to other attempts are ignored
	stickyServer   string // server that may have run the job and gets all retries
	avoidServer    string // server at which the last attempt was rejected or failed
}

// scheduleJob schedules the next job, which schedules the one after it.
func (c *Caller) scheduleJob() {
	incarnation := c.incarnation
	if c.rate <= 0 {
		return
	}
	c.env.Clock.In(microtime.Time(c.rng.ExpFloat64()*1e6/c.rate), func() {
		if !c.alive(incarnation) || c.env.Clock.Now() > c.until {
			return
		}
		c.scheduleJob()
		c.startJobs()
	})
}

// startJobs sends one job, or several while a fault multiplies the traffic of its tenant (or of its class, in a
// deployment without tenants).
func (c *Caller) startJobs() {
	if c.env.Deployment.HasVault {
		class := c.newJob("", anyClass)
		for range c.trafficMultiple(c.env.Settings.Classes[class].Name) - 1 {
			c.newJob("", class)
		}
		return
	}
	tenants := c.env.Settings.Tenants
	tenant := tenants[c.rng.IntN(len(tenants))].Name
	for range c.trafficMultiple(tenant) {
		c.newJob(tenant, anyClass)
	}
}

// trafficMultiple returns the number of jobs to send in place of one for a tenant or class.
func (c *Caller) trafficMultiple(source string) int {
	if factor := c.env.TrafficFactor[source]; factor > 1 {
		return int(factor + c.rng.Float64())
	}
	return 1
}

// newJob creates a random job of a class, or of a random class for anyClass, sends it, and returns the class.
func (c *Caller) newJob(tenant string, class int) int {
	started := &job{
		tenant:    tenant,
		sizeKB:    13 + 50*c.rng.Float64(),
		startedAt: c.env.Clock.Now(),
		class:     class,
	}
	if class == anyClass {
		started.class = c.env.Deployment.drawClass(c.rng)
	}
	started.body = c.drawBody()
	lowestPriority := []float64{0, 0.333, 0.667}[started.class]
	started.priority = lowestPriority + 0.333*c.rng.Float64()
	if c.hasKey(started) {
		started.idempotencyKey = fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64())
	}
	if c.env.Deployment.HasVault {
		started.size = drawSize(c.rng)
		started.sizeHint = started.size * math.Exp(0.4*c.rng.NormFloat64())
	}
	c.env.Started[c.classOf(started).Name]++
	c.env.WeightStarted += c.weight(started)
	c.dispatch(started)
	return started.class
}

// drawBody returns a random body for a job.
func (c *Caller) drawBody() []byte {
	body := make([]byte, 16+c.rng.IntN(180))
	for i := range body {
		body[i] = byte('a' + c.rng.IntN(26))
	}
	return body
}

// classOf returns the settings of a job's class.
func (c *Caller) classOf(sent *job) control.Class { return c.env.Settings.Classes[sent.class] }

// weight returns the weight of a job that is served within its latency objective.
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

// deadline returns the time that an attempt of a job may take.
func (c *Caller) deadline(sent *job) microtime.Time {
	return microtime.FromDuration(c.classOf(sent).Deadline)
}

// dispatch sends a job to the server that may already have run it, or else to one of the endpoint list. The job is
// dropped if it was served, if no server allows it, if it is too old or was sent too often, or if all connections are
// full.
func (c *Caller) dispatch(sent *job) {
	if sent.served {
		return
	}
	server := sent.stickyServer
	if server == "" {
		if len(c.endpoints) == 0 {
			c.retry(sent, emptyEndpointsPause)
			return
		}
		server = c.chooseServer(sent)
		if server == "" {
			return
		}
	}
	sent.attempts++
	if sent.attempts > maxAttempts || c.env.Clock.Now() > sent.startedAt+jobLifetime {
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

// chooseServer returns a random server of the endpoint list. It draws once more if the first one is to be avoided, and
// returns an empty string if no server allows the job.
func (c *Caller) chooseServer(sent *job) string {
	server := c.randomEndpoint()
	if server == sent.avoidServer {
		server = c.randomEndpoint()
	}
	if c.env.Deployment.HasVault {
		return c.allowedServer(server)
	}
	return server
}

// retry dispatches a job again after a pause.
func (c *Caller) retry(sent *job, pause microtime.Time) {
	incarnation := c.incarnation
	c.env.Clock.In(pause, func() {
		if c.alive(incarnation) && c.env.Clock.Now() < sent.startedAt+jobLifetime {
			c.dispatch(sent)
		}
	})
}

// attemptServed counts a job whose result was received.
func (c *Caller) attemptServed(sent *job) {
	if sent.served {
		return
	}
	sent.served = true
	now := c.env.Clock.Now()
	class := c.classOf(sent)
	c.env.Served[class.Name]++
	if now <= sent.startedAt+microtime.FromDuration(class.LatencyObjective) {
		c.env.WeightServed += c.weight(sent)
	} else if now <= sent.startedAt+c.deadline(sent) {
		c.env.WeightServed += c.weight(sent) * class.LateWeightShare
	}
}

// attemptRejected retries or drops a job after a rejected attempt, which did not run.
func (c *Caller) attemptRejected(sent *job, server string, final answer) {
	sent.avoidServer = server
	switch {
	case c.faults.retryAtOnceUntil > c.env.Clock.Now():
		c.retry(sent, 0)
	case final.noRetry && sent.stickyServer == "": // the job is dropped
	default:
		c.retry(sent, max(final.retryAfter, minRejectedPause)+randomUpTo(c.rng, rejectedJitter))
	}
}

// attemptFailed retries or drops a job after an attempt that may have run. A job that must not run twice is dropped, as
// are half of the idempotent ones. A keyed job is retried at the same server, by either protocol.
func (c *Caller) attemptFailed(sent *job, server string) {
	if c.classOf(sent).Idempotency == control.NonIdempotent {
		return
	}
	if c.hasKey(sent) {
		sent.stickyServer = server
		if c.OtherProtocol != nil && c.rng.IntN(3) == 0 && c.OtherProtocol.node.Up() {
			c.OtherProtocol.retry(sent, randomUpTo(c.rng, otherProtocolJitter))
			return
		}
	} else if c.rng.IntN(2) == 0 {
		return
	}
	sent.avoidServer = server
	c.retry(sent, randomUpTo(c.rng, failedJitter))
}
