package fakes

import (
	"math"
	"strconv"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// deafCallers is how many callers there are for each that heeds no allowance.
const deafCallers = 5

// allowance is how many requests a server said that the caller may have outstanding there.
type allowance struct {
	requests float64
	until    microtime.Time
}

// hears takes the free value on an answer of a server.
func (c *Caller) hears(server, say string) {
	requests, err := strconv.ParseFloat(say, 64)
	if err == nil && c.st.Settings.LoadSignal == control.LoadSignalAllowance && c.number%deafCallers != 0 {
		c.heard[server] = allowance{requests, c.st.World.Now() + microtime.FromDuration(c.st.Settings.LoadSignalTTL)}
	}
}

// willing is the server itself, or else another of the list, where the caller may have one more request; "" where there is none.
func (c *Caller) willing(first string) string {
	if c.allowed(first) {
		return first
	}
	for _, server := range c.list {
		if c.allowed(server) {
			return server
		}
	}
	return ""
}

// allowed tells whether the caller may have one more request at a server; a fraction is allowed by chance.
func (c *Caller) allowed(server string) bool {
	a, ok := c.heard[server]
	if !ok || c.st.World.Now() > a.until {
		return true
	}
	open := 0
	for _, k := range c.conns {
		if k.server == server {
			open += len(k.open) + len(k.waiting)
		}
	}
	return float64(open) < math.Floor(a.requests+c.rng.Float64())
}
