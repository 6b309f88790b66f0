package edge

import (
	"pewterline/internal/micro"
	"pewterline/internal/routing"
)

type ajpSession struct{}

func (s *Server) acceptAJP(c Conn) *ajpSession { c.Close(); return &ajpSession{} }

func (a *ajpSession) Receive(in []byte) (int, error)  { return len(in), nil }
func (a *ajpSession) Closed()                         {}
func (a *ajpSession) checkBody(micro.Time) micro.Time { return micro.Never }

type ajpRunner struct{}

func newAJPRunner(*Server) *ajpRunner  { return &ajpRunner{} }
func (r *ajpRunner) Start(routing.Run) {}
func (r *ajpRunner) Stop(string)       {}
func (r *ajpRunner) Poll()             {}
