package invariant

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

func (o *Observer) owed(r *request) bool { return !r.over && r.answers == 0 && !r.gaveUp && !r.c.left }

func (o *Observer) pausedSince(s *server, from microtime.Time) (sum microtime.Time) {
	now := o.w.Now()
	for _, p := range s.paused {
		sum += max(0, min(p.to, now)-max(p.from, from))
	}
	return sum
}

func (o *Observer) called(c *conn, m thrift.Call) {
	switch m.Method {
	case thrift.MethodProbe:
		o.checked(c, m)
	case thrift.MethodGiveUp:
		r := c.open[m.CancelledID]
		if r != nil && r.answers > 0 {
			o.reach(c.s, "give-up after the answer")
			return
		}
		if r == nil {
			if m.CancelledID <= c.lastGiven {
				o.reach(c.s, "give-up after the end")
			} else {
				o.reach(c.s, "give-up for a number never used")
			}
			return
		}
		if !r.gaveUp {
			r.gaveUp = true
			o.ended(r)
			o.overAt(r)
			o.note(r, "given up")
			o.reach(c.s, fmt.Sprintf("give-up running%v keyed%v", r.running, r.once != ""))
			if u := c.s.runs[r.id]; u != nil && u.ended {
				o.reach(c.s, "give-up between the run's end and the answer")
			}
		}
	case thrift.MethodProcess:
		if c.open[m.SequenceID] != nil || m.SequenceID <= c.lastGiven {
			c.broken = true // two requests under one number: no proxy does so
			for _, r := range c.open {
				r.over = true
			}
			return
		}
		c.lastGiven = m.SequenceID
		if r := o.request(c, func(name string) string { return m.Fields[name] }, m.Body); r != nil {
			r.seq = m.SequenceID
			c.open[m.SequenceID] = r
		}
	}
}

// request takes a try that has reached the server's machine whole.
func (o *Observer) request(c *conn, get func(string) string, body []byte) *request {
	s, now := c.s, o.w.Now()
	class, ok := o.classes[get("class")]
	ms, err := strconv.ParseInt(get("at"), 10, 64)
	kb, err2 := strconv.ParseFloat(get("kb"), 64)
	if !ok || err != nil || err2 != nil || s.reqs[get("id")] != nil || s.ended {
		return nil // no proxy sends this
	}
	r := &request{s: s, c: c, id: get("id"), class: class, at: o.wall.FromUnixMilli(ms), arrived: now, kb: kb, body: xxhash.Sum64(body)}
	cl := o.Limits.Settings.Classes[class]
	if cl.Idempotency == control.IdempotentByKey {
		r.once = get("tenant") + "/" + get("once")
		k := s.keys[r.once]
		if k == nil {
			k = &key{}
			s.keys[r.once] = k
		}
		if n := len(k.tries); n > 0 {
			last := k.tries[n-1]
			if last.c.kind != c.kind {
				o.reach(s, "repeat by the other front")
			}
			o.reach(s, fmt.Sprintf("repeat running%v runs%d answered%v gaveup%v left%v", last.running, size(len(k.runs)), last.answers > 0, last.gaveUp, last.c.left))
		}
		k.tries = append(k.tries, r)
	}
	s.reqs[r.id] = r
	if o.OnRequest != nil && c.from[0] == 'e' {
		o.OnRequest(r.id, s.name, cl.Name, body)
	}
	s.open = append(s.open, r)
	o.note(r, "%s read, asked at %v, due at %v", cl.Name, (r.at - simnet.Start).Duration(), (o.due(r) - simnet.Start).Duration())
	at := o.due(r) + o.Limits.AnswerGrace + socketGrace
	i := len(o.dues)
	for i > 0 && o.dues[i-1].at > at {
		i--
	}
	o.dues = slices.Insert(o.dues, i, due{at, r})
	return r
}

// due is when an answer must have come: never earlier than the request was read.
func (o *Observer) due(r *request) microtime.Time {
	return max(r.at+microtime.FromDuration(o.Limits.Settings.Classes[r.class].Deadline), r.arrived)
}

func (o *Observer) replied(c *conn, p thrift.Reply) {
	if p.Kind == thrift.ReplyFarewell {
		o.reach(c.s, "farewell")
		return
	}
	if p.MethodName == "probe" {
		o.checkAnswered(c, p)
		return
	}
	r := c.open[p.SequenceID]
	if r == nil {
		if p.Kind != thrift.ReplyException {
			o.report("duplicate", c.s, nil, "answer to nothing: number %d", p.SequenceID)
		}
		c.s.strays++
		return
	}
	kind := map[thrift.ReplyKind]string{thrift.ReplyAnswer: "served", thrift.ReplyThrottled: "refused", thrift.ReplyBroken: "failed", thrift.ReplyException: "failed"}[p.Kind]
	o.answered(r, kind, p.Body)
}

func (o *Observer) overAt(r *request) {
	if o.OnRequestEnded != nil && r.c.from[0] == 'e' {
		o.OnRequestEnded(r.id)
	}
}

// answered judges one final answer.
func (o *Observer) answered(r *request, kind string, result []byte) {
	s, now := r.s, o.w.Now()
	r.answers++
	o.ended(r)
	o.overAt(r)
	o.Answers[kind]++
	o.note(r, "%s", kind)
	if r.answers > 1 {
		o.report("duplicate", s, r, "answered twice: request %s", r.id)
		return
	}
	r.answered, r.kind = now, kind
	if r.gaveUp {
		o.reach(s, "answer after give-up "+kind)
	}
	o.judgeInTime(s, r, now)
	o.reach(s, fmt.Sprintf("%s running%v class%d drain%d", kind, r.running, r.class, o.drainPhase(s)))
	switch kind {
	case "refused":
		o.judgeRefusal(s, r)
	case "served":
		o.judgeResult(s, r, result)
		if u := s.runs[r.id]; o.Example == nil && u != nil && len(u.points) > 0 {
			o.Example = o.history(s, r)
		}
		if k := s.keys[r.once]; o.Limits.Store && k != nil && len(k.runs) > 0 {
			o.stored[s.name+"/"+r.once] = k.runs[len(k.runs)-1]
		}
	}
}

func (s *server) pausedAt(now microtime.Time) bool {
	for _, p := range s.paused {
		if now >= p.from && now <= p.to {
			return true
		}
	}
	return false
}
