package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// apply carries out the actions that a step of the decision module returned, in their order.
func (c *Core) apply(now microtime.Time, actions []control.Action) {
	for _, action := range actions {
		if !c.applyToRequest(now, action) && !c.applyToServer(now, action) {
			c.logf("dispatch: unsupported action: action=%s", fmt.Sprintf("%T", action))
		}
	}
	c.keys.endTurn()
}

// applyToRequest carries out an action on one request. It returns false for an action of another kind.
func (c *Core) applyToRequest(now microtime.Time, action control.Action) bool {
	switch act := action.(type) {
	case control.Start:
		c.start(c.requests.byID[act.ID])
	case control.Reject:
		c.reject(c.requests.byID[act.ID], act)
	case control.Fail:
		c.fail(now, c.requests.byID[act.ID])
	case control.Preempt:
		c.preempt(c.requests.byID[act.ID])
	case control.Call:
		c.makeCall(c.requests.byID[act.ID], microtime.FromDuration(act.Timeout))
	case control.SkipCall:
		c.skipCall(c.requests.byID[act.ID])
	case control.RetainKey:
		if req := c.requests.byID[act.ID]; req != nil && req.entry != nil {
			c.keys.retain(req, now+microtime.FromDuration(act.TTL))
		}
	case control.ReleaseKey:
		c.keys.endRetention(act.ID)
	case control.ReplayResult:
		c.replay(c.requests.byID[act.ID])
	default:
		return false
	}
	return true
}

// applyToServer carries out an action on the server as a whole. It returns false for an action of another kind.
func (c *Core) applyToServer(now microtime.Time, action control.Action) bool {
	switch act := action.(type) {
	case control.SetHealth:
		c.health.set(now, act.Healthy)
	case control.SetLoadSignal:
		c.signal = loadSignal{value: act.Value, known: true}
	case control.CloseIdleConnections:
		c.idleTimeout = microtime.FromDuration(act.IdleTimeout)
	case control.ScheduleTick:
		c.ticks.add(now+microtime.FromDuration(act.After), act.Token)
	case control.Log:
		c.logf("control: %s", act.Text)
	default:
		return false
	}
	return true
}
