package workerpool

// position is the position of a command in the sequence of all commands sent to the pool.
type position struct {
	connection int // the number of the connection on which the command was sent; 0: it was not sent
	order      int // the number of the command, counted over all connections
}

func (p position) sent() bool { return p.connection > 0 }

// acknowledgements records which commands the pool is known to have read. The pool reads commands in the order in which
// they were sent, so one number per connection is enough.
type acknowledgements struct {
	received map[int]int // by connection: the order up to which commands were read
	polls    []int       // for each unanswered poll on the current connection: the last order before it
}

// acknowledge records that the command at a position, and all before it on its connection, were read.
func (a *acknowledgements) acknowledge(p position) {
	a.received[p.connection] = max(a.received[p.connection], p.order)
}

// includes reports whether the command at a position is known to have been read.
func (a *acknowledgements) includes(p position) bool {
	return p.sent() && p.order <= a.received[p.connection]
}

// pollSent records a poll for the gauges that was sent after the command with the given order.
func (a *acknowledgements) pollSent(order int) { a.polls = append(a.polls, order) }

// pollAnswered records the answer to the oldest poll, which proves that all commands before the poll were read.
func (a *acknowledgements) pollAnswered(connection int) {
	if len(a.polls) == 0 {
		return
	}
	a.acknowledge(position{connection: connection, order: a.polls[0]})
	a.polls = a.polls[1:]
}

// connectionChanged drops the polls that were sent on the previous connection, because they will not be answered.
func (a *acknowledgements) connectionChanged() { a.polls = nil }

// keepOnly drops the acknowledgements of all connections other than the given one. They are no longer needed.
func (a *acknowledgements) keepOnly(connection int) {
	for other := range a.received {
		if other != connection {
			delete(a.received, other)
		}
	}
}
