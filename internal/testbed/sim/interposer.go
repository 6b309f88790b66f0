package sim

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// interposer stands between one process of a server and its event loop. A test plants a bug there: what passes is
// changed on its way, and the server itself has no part in it.
type interposer interface {
	// handler returns what the event loop calls in place of the server.
	handler(transport.Handler) transport.Handler
	// eventLoop returns what the server calls in place of the event loop.
	eventLoop(server.EventLoop) server.EventLoop
}

// controllerInterposer is an interposer that stands between the server and its decision module as well.
type controllerInterposer interface {
	// newController returns the module that the server is to decide by.
	newController(control.Settings) (dispatch.Controller, error)
}

// passThrough is an interposer that changes nothing; others embed it.
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
