package sim

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// interposer is placed between one process of a server and its event loop. Tests plant bugs with it by changing the
// calls and data that pass, without changing the server.
type interposer interface {
	// handler returns the handler that the event loop calls in place of the server.
	handler(transport.Handler) transport.Handler
	// eventLoop returns the event loop that the server calls in place of the real one.
	eventLoop(server.EventLoop) server.EventLoop
}

// controllerInterposer is an interposer that also replaces the decision module of the server.
type controllerInterposer interface {
	// newController returns the decision module for the server to use.
	newController(control.Settings) (dispatch.Controller, error)
}

// passThrough is an interposer that changes nothing. Other interposers embed it.
type passThrough struct{}

func (passThrough) handler(handler transport.Handler) transport.Handler { return handler }

func (passThrough) eventLoop(loop server.EventLoop) server.EventLoop { return loop }

// interposer returns the interposer of a new process.
func (o Options) interposer() interposer {
	if o.interpose == nil {
		return passThrough{}
	}
	return o.interpose()
}
