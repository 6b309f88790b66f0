package dispatch

import (
	"fmt"
	"slices"
	"time"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// Controller is the decision module as the core uses it; control.Controller describes each method.
type Controller interface {
	Step(now time.Duration, events []control.Event) []control.Action
	Reconfigure(control.Settings) error
	LearnedState() control.LearnedState
	RestoreLearned(control.LearnedState)
}

// Config holds the parameters of a Core.
type Config struct {
	Settings control.Settings
	Backend  Backend
	// Logf writes a log line for the operators.
	Logf func(format string, args ...any)
}

// Core carries requests between the frontends, the decision module and the backend.
type Core struct {
	settings      control.Settings
	newController func(control.Settings) (Controller, error)
	controller    Controller            // nil until Start
	learned       *control.LearnedState // of a predecessor; nil if there was none
	backend       Backend
	downstream    Downstream     // nil: runs make no calls
	store         ExecutionStore // nil: results are kept in memory only
	peer          PeerProcess    // nil: there is no other process of this server
	role          handoff.Role
	logf          func(format string, args ...any)

	now      microtime.Time
	requests registry
	keys     keyTable
	parked   parkedRequests
	events   []control.Event // for the next step of the decision module
	deferred []deferredResponse
	ticks    tickSchedule
	gauges   control.Gauges
	counters counterTable
	drain    drainNotice

	health      healthStatus
	signal      loadSignal
	idleTimeout microtime.Time
}

// deferredResponse is a response that the next step sends without asking the decision module.
type deferredResponse struct {
	request  *request
	response Response
}

// drainNotice is the request for a graceful shutdown.
type drainNotice struct {
	received bool
	at       microtime.Time
}

// New returns a core whose decision module starts with Start. The error is ErrCallsUnsupported, or wraps
// control.ErrInvalidSettings.
func New(config Config) (*Core, error) {
	if err := checkCalls(config.Settings, config.Backend); err != nil {
		return nil, err
	}
	core := &Core{
		settings:      config.Settings,
		newController: newControlModule,
		backend:       config.Backend,
		logf:          config.Logf,
		requests:      newRegistry(),
		keys:          newKeyTable(),
		counters:      newCounterTable(),
		gauges:        control.Gauges{CPUUtilization: -1, Runnable: -1, Memory: -1, Connections: -1},
		health:        healthStatus{healthy: true},
	}
	// Only a check, so that invalid settings fail early. The controller is made by Start, which knows if it starts cold.
	if _, err := control.New(config.Settings); err != nil {
		return nil, fmt.Errorf("dispatch: settings: %w", err)
	}
	core.counters.assign(config.Settings.Classes)
	return core, nil
}

// UseController replaces control.New as the constructor of the decision module. It has no effect after Start.
func (c *Core) UseController(newController func(control.Settings) (Controller, error)) {
	c.newController = newController
}

func newControlModule(settings control.Settings) (Controller, error) { return control.New(settings) }

// Start starts the decision module for a machine that has been up for age; cold means that the machine started cold.
// Later calls have no effect. The module takes the time of its first step for the start of the machine, so the first
// step has a time in the past.
func (c *Core) Start(now, age microtime.Time, cold bool) {
	if c.controller != nil {
		return
	}
	settings := c.settings
	settings.ColdStart = settings.ColdStart || cold
	controller, err := c.newController(settings)
	if err != nil { // New and Reload have checked the same settings.
		panic(fmt.Sprintf("dispatch: settings: %v", err))
	}
	c.controller = controller
	if c.learned != nil {
		controller.RestoreLearned(*c.learned)
		// A predecessor that has advertised no value yet has learned 0, which as an allowance means "send nothing".
		c.signal.value = c.learned.LoadSignal
		c.signal.known = settings.LoadSignal != control.LoadSignalNone && c.learned.LoadSignal > 0
	}
	bornAt := max(now-age, 0)
	c.apply(now, controller.Step(bornAt.Duration(), nil))
	c.ticks.postponeTo(now) // The tick that the first step scheduled may be due in the past.
}

// SetGauges records the latest gauges of the backend's machine.
func (c *Core) SetGauges(gauges control.Gauges) { c.gauges = gauges }

// OpenRequests counts the requests without a response whose caller has not left.
func (c *Core) OpenRequests() int { return c.requests.unanswered }

// LearnedState returns the estimates of the decision module; the zero value before Start.
func (c *Core) LearnedState() control.LearnedState {
	if c.controller == nil {
		return control.LearnedState{}
	}
	return c.controller.LearnedState()
}

// RestoreLearned sets the estimates of a predecessor with which Start starts the decision module.
func (c *Core) RestoreLearned(learned control.LearnedState) { c.learned = &learned }

// Drain starts the graceful shutdown, which was requested at a time up to now; the process is stopped at stopAt.
func (c *Core) Drain(now, at, stopAt microtime.Time) {
	if c.drain.received {
		return
	}
	c.Start(now, 0, false)
	c.drain = drainNotice{received: true, at: at}
	c.events = append(c.events, control.DrainRequested{StopAt: stopAt.Duration(), Age: (now - at).Duration()})
}

// Drained reports whether a graceful shutdown was requested and no request needs a response any more.
func (c *Core) Drained() bool { return c.drain.received && c.requests.unanswered == 0 }

// NextWakeup is when Step must be called at the latest.
func (c *Core) NextWakeup() microtime.Time {
	if len(c.events)+len(c.deferred) > 0 {
		return c.now
	}
	next := c.ticks.next()
	for _, req := range c.parked.requests {
		next = min(next, c.parkedDeadline(req))
	}
	return next
}

// Step passes the events since the last step to the decision module and carries out its actions.
func (c *Core) Step(now microtime.Time) {
	c.now = now
	if c.controller == nil {
		return
	}
	for _, d := range c.deferred {
		c.respond(d.request, d.response)
		c.forget(d.request)
	}
	c.deferred = nil
	c.expireParked(now)
	c.notifyReleasedKeys()
	due := c.ticks.takeDue(now)
	for _, token := range due {
		c.events = append(c.events, control.Tick{Token: token, Gauges: c.gauges})
	}
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	c.apply(now, c.controller.Step(now.Duration(), events))
	c.notifyReleasedKeys()
	if len(due) > 0 {
		c.backend.RequestGauges()
		c.keys.sweep(now)
	}
}

// respondLater sends a response with the next step, as a Responder must not be called within Submit.
func (c *Core) respondLater(req *request, response Response) {
	c.deferred = append(c.deferred, deferredResponse{req, response})
}

// respond sends the response to a request, unless it was answered before or its caller has left.
func (c *Core) respond(req *request, response Response) {
	if req.answered {
		return
	}
	c.markAnswered(req)
	c.counters.count(req.Class, response.Status)
	req.Responder.Respond(response)
}

// markAnswered records that a request is answered or that its caller has left.
func (c *Core) markAnswered(req *request) {
	if req.answered {
		return
	}
	req.answered = true
	c.requests.unanswered--
	c.abandonCall(req)
}

// forget removes a request that has ended.
func (c *Core) forget(req *request) {
	c.requests.remove(req)
	c.parked.remove(req)
	if req.entry != nil {
		req.entry.removeWaiter(req)
	}
}

// FailAll fails all open requests, as the process ends now.
func (c *Core) FailAll() {
	ids := make([]control.RequestID, 0, len(c.requests.byID))
	for id := range c.requests.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		req := c.requests.byID[id]
		c.respond(req, failed(reasonProcessShutdown))
		c.events = append(c.events, control.RequestCancelled{ID: id})
		if !req.state.started() {
			c.forget(req)
		}
	}
}

// class returns the settings of a request's class.
func (c *Core) class(req *request) control.Class { return c.settings.Classes[req.Class] }

// deadline is when the caller of a request gives up.
func (c *Core) deadline(req *request) microtime.Time {
	return req.ArrivedAt + microtime.FromDuration(c.class(req).Deadline)
}

// retentionWindow is how long after its arrival a request of a class may be repeated.
func (c *Core) retentionWindow(class int) microtime.Time {
	return microtime.FromDuration(c.settings.Classes[class].RetentionWindow)
}

func (c *Core) knownClass(class int) bool { return class >= 0 && class < len(c.settings.Classes) }
