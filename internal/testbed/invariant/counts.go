package invariant

// Counts is what became of the requests of a class that an incarnation of a server has read, as its callers and its
// worker pool saw it.
type Counts struct {
	Served   int
	Rejected int
	Failed   int
	Runs     int // that reached the worker pool
	// Ambiguous are requests whose callers cancelled them or left: their answers may have crossed that, and been
	// counted or not.
	Ambiguous int
}

// add counts one request.
func (c *Counts) add(request *requestState) {
	switch {
	case request.cancelled || request.conn.callerLeft || request.settled:
		c.Ambiguous++
	case request.answerKind == answerServed:
		c.Served++
	case request.answerKind == answerRejected:
		c.Rejected++
	case request.answerKind == answerFailed:
		c.Failed++
	}
	if request.server.runs[request.id] != nil {
		c.Runs++
	}
}

// CountsOf counts by class for the incarnation that a server is in. strayErrors are errors that answered what is no
// request.
func (o *Observer) CountsOf(name string) (byClass map[string]Counts, strayErrors int) {
	byClass = map[string]Counts{}
	server := o.servers[name]
	for _, request := range server.requests {
		class := o.classOf(request).Name
		counts := byClass[class]
		counts.add(request)
		byClass[class] = counts
	}
	return byClass, server.strayErrors
}
