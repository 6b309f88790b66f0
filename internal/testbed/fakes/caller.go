package fakes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

const (
	maxOpen    = 32 // requests on a connection
	maxConns   = 4  // to a server
	triesMost  = 4
	idleMost   = 6 * microtime.Second
	probeEvery = 2 * microtime.Second
	tenantAt   = 4  // among a request's fields
	hastyOneIn = 20 // requests to a server with a vault
	hastyMost  = 400 * microtime.Millisecond
)

// Caller is a proxy that speaks Thrift, or a web front end that speaks AJP. It has a list of servers that may be out
// of date, sends jobs of its crews, tries again after refusals and errors, and gives up.
type Caller struct {
	st            *Environment
	rng           *rand.Rand
	node          *simnet.Node
	number        int
	ajp           bool
	life          int
	rate          float64 // jobs a second
	until         microtime.Time
	list          []string
	frozen        microtime.Time // hears of no change before
	conns         []*conn
	jobs          int
	OtherProtocol *Caller // of the other protocol, for some repeats of an intake; nil: none
	heard         map[string]allowance

	hasty, hastyUntil           microtime.Time
	lateUntil, deafUntil        microtime.Time
	insistUntil                 microtime.Time
	Indeterminate, Lost, Unsent int // outcomes of intakes that nobody knows; jobs that were lost; that found no server
}

// job is a request over all its tries.
type job struct {
	class  int
	tenant string
	once   string
	body   []byte
	kb     float64
	rank   float64
	size   float64 // of its work, times its class's average; 0: nobody says
	hint   float64 // the size that the caller states
	born   microtime.Time
	tries  int
	sticky string // a server that may have run it
	avoid  string
}

// try is one sending of a job.
type try struct {
	j      *job
	id     string
	seq    int32
	sentAt microtime.Time
	timer  *simnet.Timer
}

// conn is a connection to a server, or one that is being opened.
type conn struct {
	c       *Caller
	server  string
	e       *simnet.Stream // nil while it is being opened
	waiting []*job
	open    []*try
	seq     int32
	in      []byte
	bidden  bool
	ended   bool
	idle    *simnet.Timer
	status  int
	result  []byte
	after   microtime.Time
	last    bool
}

// CallerConfig is what tells one caller from another.
type CallerConfig struct {
	Name      string         // of its node
	Number    int            // that it states to the servers
	AJP       bool           // it is a web front end that speaks AJP, and else a proxy that speaks Thrift
	Rate      float64        // jobs a second
	Until     microtime.Time // when it stops sending new jobs
	Endpoints []string       // the servers that it knows at the start
	Seed      uint64
}

// NewCaller returns a caller that begins at once.
func NewCaller(st *Environment, config CallerConfig) *Caller {
	c := &Caller{st: st, node: st.Net.Node(config.Name), number: config.Number, ajp: config.AJP, rate: config.Rate,
		until: config.Until, list: slices.Clone(config.Endpoints), heard: map[string]allowance{}}
	c.rng = st.World.Fork(config.Seed, config.Name)
	st.Registry.callers = append(st.Registry.callers, c)
	c.boot()
	return c
}

func (c *Caller) boot() {
	c.node.Boot()
	c.life = c.node.Incarnation
	c.conns = nil
	c.next()
	if !c.ajp {
		c.probe()
	}
}

// Crash ends the caller's process; it is back at a time with the list it had, and an address of nobody's in it.
func (c *Caller) Crash(back microtime.Time) {
	for _, k := range c.conns {
		k.ended = true
		for _, t := range k.open {
			t.timer.Stop()
			c.st.Requests.over(t.id)
		}
		k.idle.Stop()
	}
	c.conns = nil
	c.node.Kill(false)
	c.frozen = max(c.frozen, back+3*microtime.Second)
	c.st.World.At(back, func() {
		if c.node.Up() {
			return
		}
		c.list = append(slices.DeleteFunc(c.list, func(s string) bool { return s == "x9" }), "x9")
		c.boot()
	})
}

// FreezeEndpoints has it hear of no change of the list until a time.
func (c *Caller) FreezeEndpoints(until microtime.Time) { c.frozen = max(c.frozen, until) }

// CancelAfter has it give requests up after a while, until a time; GiveLate has it give up what was answered; Insist has
// it try again at once when it is refused; Deaf has it read nothing.
func (c *Caller) CancelAfter(after, until microtime.Time) { c.hasty, c.hastyUntil = after, until }

// CancelLate has it give up what was answered, until a time.
func (c *Caller) CancelLate(until microtime.Time) { c.lateUntil = until }

// RetryAtOnce has it try again the instant that it is refused, until a time.
func (c *Caller) RetryAtOnce(until microtime.Time) { c.insistUntil = until }

// StopReading has it read nothing until a time.
func (c *Caller) StopReading(until microtime.Time) {
	c.deafUntil = max(c.deafUntil, until)
	for _, k := range slices.Clone(c.conns) {
		if k.e != nil {
			k.e.PauseReading(true)
		}
	}
	c.st.World.At(until, func() {
		for _, k := range slices.Clone(c.conns) {
			if k.e != nil && !k.ended && c.deafUntil <= c.st.World.Now() {
				k.e.PauseReading(false)
			}
		}
	})
}

func (c *Caller) hear(list []string) {
	if c.st.World.Now() >= c.frozen {
		c.list = list
	}
}

func (c *Caller) alive(life int) bool { return c.node.Up() && c.node.Incarnation == life }

// next plans the next job.
func (c *Caller) next() {
	life := c.life
	if c.rate <= 0 {
		return
	}
	c.st.World.In(microtime.Time(c.rng.ExpFloat64()*1e6/c.rate), func() {
		if !c.alive(life) || c.st.World.Now() > c.until {
			return
		}
		c.next()
		c.begin()
	})
}

// begin draws a job; a flood has a tenant, or a class where there are no tenants, send more of them at once.
func (c *Caller) begin() {
	if c.st.Deployment.Vault {
		class := c.newJob("", -1)
		for range c.flooded(c.st.Settings.Classes[class].Name) - 1 {
			c.newJob("", class)
		}
		return
	}
	tenants := c.st.Settings.Tenants
	tenant := tenants[c.rng.IntN(len(tenants))].Name
	for range c.flooded(tenant) {
		c.newJob(tenant, -1)
	}
}

// flooded is how many jobs come in place of one.
func (c *Caller) flooded(what string) int {
	if f := c.st.TrafficFactor[what]; f > 1 {
		return int(f + c.rng.Float64())
	}
	return 1
}

// newJob draws a job of a class, or of any if that is negative, and sends it off. It returns the class.
func (c *Caller) newJob(tenant string, class int) int {
	j := &job{tenant: tenant, kb: 13 + 50*c.rng.Float64(), born: c.st.World.Now(), class: class}
	if class < 0 {
		shares, x := c.st.Deployment.TrafficShares, c.rng.Float64()
		for j.class = 0; j.class < len(shares)-1 && x > shares[j.class]; j.class++ {
			x -= shares[j.class]
		}
	}
	j.body = make([]byte, 16+c.rng.IntN(180))
	for i := range j.body {
		j.body[i] = byte('a' + c.rng.IntN(26))
	}
	band := []float64{0, 0.333, 0.667}[j.class]
	j.rank = band + 0.333*c.rng.Float64()
	if c.keyed(j) {
		j.once = fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64())
	}
	if c.st.Deployment.Vault {
		j.size = drawSize(c.rng)
		j.hint = j.size * math.Exp(0.4*c.rng.NormFloat64())
	}
	c.st.Asked[c.st.Settings.Classes[j.class].Name]++
	c.st.WeightAsked += c.worth(j)
	c.jobs++
	c.dispatch(j)
	return j.class
}

// worth is what a job is worth if it is served within its aim.
func (c *Caller) worth(j *job) float64 {
	worth := c.st.Settings.Classes[j.class].Weight
	if c.st.Settings.WeightPerWork {
		worth *= j.size
	}
	return worth
}

func (c *Caller) keyed(j *job) bool {
	return c.st.Settings.Classes[j.class].Idempotency == control.IdempotentByKey
}

func (c *Caller) deadline(j *job) microtime.Time {
	return microtime.FromDuration(c.st.Settings.Classes[j.class].Deadline)
}

// dispatch sends a job to the server that may have run it, or to one of the list.
func (c *Caller) dispatch(j *job) {
	server := j.sticky
	if server == "" {
		if len(c.list) == 0 {
			c.again(j, 200*microtime.Millisecond)
			return
		}
		server = c.list[c.rng.IntN(len(c.list))]
		if server == j.avoid {
			server = c.list[c.rng.IntN(len(c.list))]
		}
		if c.st.Deployment.Vault {
			if server = c.willing(server); server == "" { // it refuses the job itself
				c.Lost++
				return
			}
		}
	}
	if j.tries++; j.tries > triesMost || c.st.World.Now() > j.born+13*microtime.Second {
		c.Lost++
		return
	}
	// The fullest connection that has room, so that the others may end.
	var best *conn
	most := maxOpen
	if c.ajp {
		most = 1
	}
	n := 0
	for _, k := range c.conns {
		if k.server != server || k.ended {
			continue
		}
		n++
		if !k.bidden && len(k.open)+len(k.waiting) < most && (best == nil || len(k.open) > len(best.open)) {
			best = k
		}
	}
	if best == nil {
		if limit := maxConns; n >= limit && !c.ajp || n >= 8*limit {
			c.Unsent++
			return
		}
		best = c.dial(server)
	}
	if best.e == nil {
		best.waiting = append(best.waiting, j)
		return
	}
	best.send(j)
}

// again goes on with a job after a while.
func (c *Caller) again(j *job, after microtime.Time) {
	life := c.life
	c.st.World.In(after, func() {
		if c.alive(life) && c.st.World.Now() < j.born+13*microtime.Second {
			c.dispatch(j)
		}
	})
}

func (c *Caller) dial(server string) *conn {
	k := &conn{c: c, server: server}
	c.conns = append(c.conns, k)
	addr := server + "/thrift"
	if c.ajp {
		addr = server + "/ajp"
	}
	life := c.life
	c.node.Dial(addr, func(e *simnet.Stream, err error) {
		if !c.alive(life) {
			return
		}
		waiting := k.waiting
		k.waiting = nil
		if err != nil { // nothing ran
			k.drop()
			for _, j := range waiting {
				j.avoid = server
				c.again(j, 50*microtime.Millisecond)
			}
			return
		}
		k.e = e
		e.SetHandler(k)
		if c.deafUntil > c.st.World.Now() {
			e.PauseReading(true)
		}
		for _, j := range waiting {
			if k.ended {
				c.again(j, 0)
			} else {
				k.send(j)
			}
		}
	})
	return k
}

func (k *conn) drop() {
	k.ended = true
	k.idle.Stop()
	k.c.conns = slices.DeleteFunc(k.c.conns, func(o *conn) bool { return o == k })
}

// send writes a try and waits for its answer as long as its deadline is, or as haste has it.
func (k *conn) send(j *job) {
	c := k.c
	w := c.st.World
	class := c.st.Settings.Classes[j.class]
	t := &try{j: j, id: fmt.Sprintf("%016x", c.rng.Uint64()), sentAt: w.Now()}
	k.seq++
	t.seq = k.seq
	k.open = append(k.open, t)
	k.idle.Stop()
	c.st.Requests.add(t.id, k.server, class.Name, j.body)
	c.st.Requests.tries[t.id].size = j.size
	retry := ""
	if j.tries > 1 {
		retry = "1"
	}
	fields := []thrift.Field{{Name: "class", Value: class.Name}, {Name: "id", Value: t.id},
		{Name: "at", Value: strconv.FormatInt(c.st.wall.UnixMilli(w.Now()), 10)}, {Name: "from", Value: strconv.Itoa(c.number)},
		{Name: "kb", Value: strconv.FormatFloat(j.kb, 'f', 1, 64)},
		{Name: "rank", Value: strconv.FormatFloat(j.rank, 'f', 4, 64)}}
	if j.tenant != "" {
		fields = slices.Insert(fields, tenantAt, thrift.Field{Name: "tenant", Value: j.tenant})
	}
	if j.hint > 0 {
		cost := j.hint * float64(c.st.Deployment.MeanWork[j.class]) / float64(microtime.Millisecond)
		fields = append(fields, thrift.Field{Name: "cost", Value: strconv.FormatFloat(cost, 'f', 2, 64)})
	}
	if retry != "" {
		fields = append(fields, thrift.Field{Name: "retry", Value: retry})
	}
	if j.once != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: j.once})
	}
	if c.ajp {
		req := ajp.Request{Method: "POST", URI: "/" + class.Name, RemoteAddr: "127.0.0.1",
			Headers: []ajp.Header{{Name: "content-length", Value: strconv.Itoa(len(j.body))}}}
		for _, f := range fields {
			req.Headers = append(req.Headers, ajp.Header{Name: "X-Relay-" + f.Name, Value: f.Value})
		}
		out, _ := ajp.AppendBodyChunk(ajp.AppendForwardRequest(nil, req), j.body)
		k.e.Write(out)
	} else {
		k.e.Write(thrift.AppendCall(nil, t.seq, fields, j.body))
	}
	wait := c.deadline(j) + 200*microtime.Millisecond
	if c.hastyUntil > w.Now() {
		wait = min(wait, c.hasty)
	}
	if c.st.Deployment.Vault && c.rng.IntN(hastyOneIn) == 0 { // some give up while a run waits for a call
		wait = min(wait, microtime.Time(c.rng.Int64N(int64(hastyMost))))
	}
	t.timer = w.In(wait, func() { k.giveUp(t) })
}

func (k *conn) take(t *try) bool {
	i := slices.Index(k.open, t)
	if i < 0 {
		return false
	}
	k.open = slices.Delete(k.open, i, i+1)
	t.timer.Stop()
	k.c.st.Requests.over(t.id)
	return true
}

// giveUp stops waiting for a try. AJP has no word for it but the end of the connection.
func (k *conn) giveUp(t *try) {
	if k.ended || !k.take(t) {
		return
	}
	if k.c.ajp {
		k.e.Close()
		k.drop()
	} else {
		k.e.Write(thrift.AppendGiveUp(nil, t.seq))
		k.rest()
	}
	k.c.failed(t, k.server)
}

// failed goes on after a try that may have run.
func (c *Caller) failed(t *try, server string) {
	j := t.j
	if c.st.Settings.Classes[j.class].Idempotency == control.NonIdempotent { // it may have run
		c.Lost++
		return
	}
	if c.keyed(j) {
		j.sticky = server
		if c.OtherProtocol != nil && c.rng.IntN(3) == 0 && c.OtherProtocol.node.Up() {
			c.OtherProtocol.again(j, microtime.Time(c.rng.Int64N(int64(300*microtime.Millisecond))))
			return
		}
	} else if c.rng.IntN(2) == 0 {
		c.Lost++
		return
	}
	j.avoid = server
	c.again(j, microtime.Time(c.rng.Int64N(int64(400*microtime.Millisecond))))
}

// rest ends a connection that was told farewell, or that stays idle.
func (k *conn) rest() {
	if len(k.open)+len(k.waiting) > 0 || k.ended || k.e == nil {
		return
	}
	if k.bidden {
		k.e.Close()
		k.drop()
		return
	}
	k.idle.Stop()
	k.idle = k.c.st.World.In(idleMost, func() {
		if len(k.open) == 0 && !k.ended {
			k.e.Close()
			k.drop()
		}
	})
}

// EOF is part of simnet.Handler.
func (k *conn) EOF(e *simnet.Stream) {
	e.Close()
	k.Reset(e)
}

// Reset is part of simnet.Handler: what was open may have run, but for what crossed the close.
func (k *conn) Reset(*simnet.Stream) {
	if k.ended {
		return
	}
	k.drop()
	open := k.open
	k.open = nil
	for _, t := range open {
		t.timer.Stop()
		k.c.st.Requests.over(t.id)
		k.c.failed(t, k.server)
	}
}

// Received is part of simnet.Handler.
func (k *conn) Received(e *simnet.Stream, in []byte) {
	k.in = append(k.in, in...)
	for !k.ended {
		var payload []byte
		var n int
		var err error
		if k.c.ajp {
			payload, n, err = ajp.SplitPacket(k.in, ajp.FromContainer)
		} else {
			payload, n, err = thrift.SplitFrame(k.in)
		}
		if err == nil && payload != nil {
			if k.c.ajp {
				err = k.packet(payload)
			} else {
				err = k.reply(payload)
			}
		}
		if err != nil { // the rules see it too
			e.Close()
			k.Reset(e)
			return
		}
		if payload == nil {
			return
		}
		k.in = k.in[:copy(k.in, k.in[n:])]
	}
}

func (k *conn) reply(payload []byte) error {
	p, err := thrift.DecodeReply(payload)
	if err != nil {
		return err
	}
	if p.Kind == thrift.ReplyFarewell {
		k.bidden = true
		k.rest()
		return nil
	}
	i := slices.IndexFunc(k.open, func(t *try) bool { return t.seq == p.SequenceID })
	if i < 0 {
		return nil // it crossed a give-up
	}
	t := k.open[i]
	k.take(t)
	k.c.hears(k.server, p.Fields["say"])
	if k.c.lateUntil > k.c.st.World.Now() {
		k.e.Write(thrift.AppendGiveUp(nil, t.seq))
		k.e.Write(thrift.AppendGiveUp(nil, t.seq+1000))
	}
	after, _ := strconv.ParseInt(p.Fields["after"], 10, 64)
	k.over(t, map[thrift.ReplyKind]int{thrift.ReplyAnswer: 200, thrift.ReplyThrottled: 503}[p.Kind], microtime.Time(after)*microtime.Millisecond, p.Fields["last"] == "1")
	k.rest()
	return nil
}

func (k *conn) packet(payload []byte) error {
	p, err := ajp.ParseResponse(payload)
	if err != nil {
		return err
	}
	switch p.Code {
	case ajp.CodeSendHeaders:
		k.status, k.after, k.last = p.Status, 0, false
		for _, h := range p.Headers {
			switch h.Name {
			case "X-Relay-After-Ms":
				ms, _ := strconv.ParseInt(h.Value, 10, 64)
				k.after = microtime.Time(ms) * microtime.Millisecond
			case "X-Relay-Last":
				k.last = h.Value == "1"
			}
		}
	case ajp.CodeEndResponse:
		if len(k.open) == 0 {
			return nil
		}
		t := k.open[0]
		k.take(t)
		if !p.Reuse {
			k.e.Close()
			k.drop()
		} else {
			k.rest()
		}
		k.over(t, k.status, k.after, k.last)
	}
	return nil
}

// over goes on after the final answer to a try.
func (k *conn) over(t *try, status int, after microtime.Time, last bool) {
	c, j := k.c, t.j
	now := c.st.World.Now()
	class := c.st.Settings.Classes[j.class]
	switch status {
	case 200:
		c.st.Served[class.Name]++
		if now <= j.born+microtime.FromDuration(class.LatencyObjective) {
			c.st.WeightServed += c.worth(j)
		} else if now <= j.born+c.deadline(j) {
			c.st.WeightServed += c.worth(j) * class.LateWeightShare
		}
	case 503: // it never ran
		j.avoid = k.server
		switch {
		case c.insistUntil > now:
			c.again(j, 0)
		case last && j.sticky == "":
			c.Lost++
		default:
			c.again(j, max(after, 10*microtime.Millisecond)+microtime.Time(c.rng.Int64N(int64(50*microtime.Millisecond))))
		}
	default:
		c.failed(t, k.server)
	}
}

// probe asks a server of the list for its health, on a connection of its own.
func (c *Caller) probe() {
	life := c.life
	c.st.World.In(probeEvery/2+microtime.Time(c.rng.Int64N(int64(probeEvery))), func() {
		if !c.alive(life) || c.st.World.Now() > c.until {
			return
		}
		c.probe()
		if len(c.list) == 0 {
			return
		}
		deep := c.st.Deployment.Vault && c.rng.IntN(2) == 0
		c.node.Dial(c.list[c.rng.IntN(len(c.list))]+"/thrift", func(e *simnet.Stream, err error) {
			if err != nil {
				return
			}
			e.SetHandler(prober{})
			e.Write(thrift.AppendProbe(nil, 1, deep))
			c.st.World.In(3*microtime.Second, e.Close)
		})
	})
}

// prober closes once it is answered.
type prober struct{ silent }

func (prober) Received(e *simnet.Stream, _ []byte) { e.Close() }
