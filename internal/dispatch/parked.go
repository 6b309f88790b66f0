package dispatch

import (
	"slices"

	"pewterline/internal/microtime"
)

// parkedResponseLead is how long before its deadline a request that is still parked is answered.
const parkedResponseLead = 10 * microtime.Millisecond

// parkedRequests holds the requests that wait for the peer process or for the execution store, oldest first.
type parkedRequests struct{ requests []*request }

func (p *parkedRequests) add(req *request) { p.requests = append(p.requests, req) }

func (p *parkedRequests) remove(req *request) {
	p.requests = slices.DeleteFunc(p.requests, func(parked *request) bool { return parked == req })
}

// waitingFor returns the requests that wait for an entry; none if entry is nil.
func (p *parkedRequests) waitingFor(entry *keyEntry) []*request {
	if entry == nil {
		return nil
	}
	var waiting []*request
	for _, req := range p.requests {
		if req.entry == entry {
			waiting = append(waiting, req)
		}
	}
	return waiting
}

// parkedDeadline returns when a parked request is answered as expired.
func (c *Core) parkedDeadline(req *request) microtime.Time {
	return c.deadline(req) - parkedResponseLead
}

// expireParked answers the requests that have been parked until their deadline.
func (c *Core) expireParked(now microtime.Time) {
	for _, req := range slices.Clone(c.parked.requests) {
		if now >= c.parkedDeadline(req) {
			c.respond(req, expired())
			c.removeRequest(req)
		}
	}
}
