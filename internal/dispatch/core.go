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
	learned       *control.LearnedState // from a predecessor; nil if there was none
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

// deferredResponse is a response that the next Step sends without consulting the decision module.
type deferredResponse struct {
	request  *request
	response Response
}

// drainNotice is the request for a graceful shutdown.
type drainNotice struct {
	received    bool
	requestedAt microtime.Time
}

// New returns a core whose decision module is started by Start. The error is ErrCallsUnsupported, or wraps
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
	// Invalid settings fail early. This controller is dropped: only Start knows whether the machine is warming up.
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

// Start starts the decision module for a machine that has been up for age; cold means that the machine had a cold start
// and warms up. Later calls have no effect. The module takes the time of its first step as the start of the machine, so
// Start gives the first step a time in the past.
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
		// The learned value is 0 if the predecessor never advertised one. As an allowance, 0 would mean "send nothing".
		c.signal.value = c.learned.LoadSignal
		c.signal.known = settings.LoadSignal != control.LoadSignalNone && c.learned.LoadSignal > 0
	}
	machineStart := max(now-age, 0)
	c.apply(now, controller.Step(machineStart.Duration(), nil))
	c.ticks.postponeTo(now) // The tick that the first step scheduled may be due in the past.
}

// SetGauges records the latest gauges of the backend's machine.
func (c *Core) SetGauges(gauges control.Gauges) { c.gauges = gauges }

// OpenRequests counts the requests that have no response yet and that their callers have not abandoned.
func (c *Core) OpenRequests() int { return c.requests.unanswered }

// LearnedState returns the estimates of the decision module; the zero value before Start.
func (c *Core) LearnedState() control.LearnedState {
	if c.controller == nil {
		return control.LearnedState{}
	}
	return c.controller.LearnedState()
}

// RestoreLearned sets the estimates of a predecessor, which Start passes to the decision module.
func (c *Core) RestoreLearned(learned control.LearnedState) { c.learned = &learned }

// Drain starts the graceful shutdown. It was requested at requestedAt, which is not after now; the process is stopped
// at stopAt.
func (c *Core) Drain(now, requestedAt, stopAt microtime.Time) {
	if c.drain.received {
		return
	}
	c.Start(now, 0, false)
	c.drain = drainNotice{received: true, requestedAt: requestedAt}
	c.events = append(c.events, control.DrainRequested{StopAt: stopAt.Duration(), Age: (now - requestedAt).Duration()})
}

// Drained reports whether a graceful shutdown was requested and every request was answered or abandoned by its caller.
func (c *Core) Drained() bool { return c.drain.received && c.requests.unanswered == 0 }

// NextWakeup returns the latest time at which Step must be called again.
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
		c.removeRequest(d.request)
	}
	c.deferred = nil
	c.expireParked(now)
	c.notifyDroppedKeys()
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
	c.notifyDroppedKeys()
	if len(due) > 0 {
		c.backend.RequestGauges()
		c.keys.sweep(now)
	}
}

// respondLater makes the next Step send a response, as a Responder must not be called within Submit.
func (c *Core) respondLater(req *request, response Response) {
	c.deferred = append(c.deferred, deferredResponse{req, response})
}

// respond sends the response to a request, unless it was answered before or its caller has abandoned it.
func (c *Core) respond(req *request, response Response) {
	if req.answered {
		return
	}
	c.markAnswered(req)
	c.counters.count(req.Class, response.Status)
	req.Responder.Respond(response)
}

// markAnswered records that a request needs no response any more: it was answered, or its caller has abandoned it.
func (c *Core) markAnswered(req *request) {
	if req.answered {
		return
	}
	req.answered = true
	c.requests.unanswered--
	c.abandonCall(req)
}

// removeRequest removes a request that has ended from all tables.
func (c *Core) removeRequest(req *request) {
	c.requests.remove(req)
	c.parked.remove(req)
	if req.entry != nil {
		req.entry.removeWaiter(req)
	}
}

// FailAll fails all open requests, for a process that is about to exit.
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
			c.removeRequest(req)
		}
	}
}

// class returns the settings of a request's class.
func (c *Core) class(req *request) control.Class { return c.settings.Classes[req.Class] }

// deadline returns when the caller of a request stops waiting for the response.
func (c *Core) deadline(req *request) microtime.Time {
	return req.ArrivedAt + microtime.FromDuration(c.class(req).Deadline)
}

// retentionWindow returns how long after its arrival a request of a class may be repeated.
func (c *Core) retentionWindow(class int) microtime.Time {
	return microtime.FromDuration(c.settings.Classes[class].RetentionWindow)
}

func (c *Core) knownClass(class int) bool { return class >= 0 && class < len(c.settings.Classes) }
