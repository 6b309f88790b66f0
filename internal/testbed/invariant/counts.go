package invariant

// Counts holds the outcomes of the requests of one class at one incarnation of a server, as seen by its callers and
// its worker pool.
type Counts struct {
	Served   int
	Rejected int
	Failed   int
	Runs     int // requests whose run command reached the worker pool
	// Ambiguous counts requests whose callers cancelled them or disconnected. The server may or may not have counted
	// their answers, which may have crossed the cancellation.
	Ambiguous int
}

// add counts one request by its outcome.
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

// CountsOf returns the counts of a server's current incarnation by class. strayErrors is the number of errors in reply
// to messages that were no requests.
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
