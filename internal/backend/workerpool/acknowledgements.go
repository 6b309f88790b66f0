package workerpool

// position is the place of a command among all commands that were sent.
type position struct {
	connection int // the number of the connection it was sent on; 0: it was not sent
	order      int // over all connections
}

func (p position) sent() bool { return p.connection > 0 }

// acknowledgements tells which commands the pool is known to have read. The pool reads commands in the order in which
// they were sent, so that one number a connection is enough.
type acknowledgements struct {
	received map[int]int // by connection: the order up to which commands were read
	polls    []int       // for each unanswered poll on the current connection: the last order before it
}

// acknowledge notes that the command at a position was read.
func (a *acknowledgements) acknowledge(p position) {
	a.received[p.connection] = max(a.received[p.connection], p.order)
}

// includes reports that the command at a position is known to have been read.
func (a *acknowledgements) includes(p position) bool {
	return p.sent() && p.order <= a.received[p.connection]
}

// pollSent notes a poll for the gauges, behind the command of an order.
func (a *acknowledgements) pollSent(order int) { a.polls = append(a.polls, order) }

// pollAnswered notes the answer to the oldest poll: all that was sent before it was read.
func (a *acknowledgements) pollAnswered(connection int) {
	if len(a.polls) == 0 {
		return
	}
	a.acknowledge(position{connection: connection, order: a.polls[0]})
	a.polls = a.polls[1:]
}

// connectionChanged forgets the polls of the connection before: they won't be answered.
func (a *acknowledgements) connectionChanged() { a.polls = nil }

// keepOnly forgets all connections but one, which have told all they can.
func (a *acknowledgements) keepOnly(connection int) {
	for other := range a.received {
		if other != connection {
			delete(a.received, other)
		}
	}
}
