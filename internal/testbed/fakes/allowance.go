package fakes

import (
	"math"
	"strconv"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// ignoreAllowanceEvery selects the callers that ignore allowances: those whose number is a multiple of it.
const ignoreAllowanceEvery = 5

// allowance is the number of outstanding requests that a server allows the caller.
type allowance struct {
	requests float64
	until    microtime.Time
}

// allowanceReceived handles the load signal in a server's answer.
func (c *Caller) allowanceReceived(server, signal string) {
	requests, err := strconv.ParseFloat(signal, 64)
	if err != nil || c.env.Settings.LoadSignal != control.LoadSignalAllowance || c.number%ignoreAllowanceEvery == 0 {
		return
	}
	until := c.env.Clock.Now() + microtime.FromDuration(c.env.Settings.LoadSignalTTL)
	c.allowances[server] = allowance{requests, until}
}

// allowedServer returns a server that allows the caller one more request: the preferred one, or the first such server
// on the endpoint list, or an empty string if there is none.
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

// allowed reports whether a server allows the caller one more request. The fraction of an allowance is the probability
// of a further request.
func (c *Caller) allowed(server string) bool {
	granted, known := c.allowances[server]
	if !known || c.env.Clock.Now() > granted.until {
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
