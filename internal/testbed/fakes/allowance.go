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

// allowanceReceived takes the load signal on an answer of a server.
func (c *Caller) allowanceReceived(server, signal string) {
	requests, err := strconv.ParseFloat(signal, 64)
	if err != nil || c.env.Settings.LoadSignal != control.LoadSignalAllowance || c.number%deafCallers == 0 {
		return
	}
	until := c.env.World.Now() + microtime.FromDuration(c.env.Settings.LoadSignalTTL)
	c.allowances[server] = allowance{requests, until}
}

// allowedServer is the preferred server, or else another of the list, where the caller may have one more request;
// empty where there is none.
func (c *Caller) allowedServer(preferred string) string {
	if c.allowed(preferred) {
		return preferred
	}
	for _, server := range c.endpoints {
		if c.allowed(server) {
			return server
		}
	}
	return ""
}

// allowed reports whether the caller may have one more request at a server; a fraction is allowed by chance.
func (c *Caller) allowed(server string) bool {
	granted, known := c.allowances[server]
	if !known || c.env.World.Now() > granted.until {
		return true
	}
	outstanding := 0
	for _, conn := range c.conns {
		if conn.server == server {
			outstanding += conn.load()
		}
	}
	return float64(outstanding) < math.Floor(granted.requests+c.rng.Float64())
}
