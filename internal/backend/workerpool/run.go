package workerpool

import (
	"pewterline/internal/dispatch"
	"pewterline/internal/protocol/pool"
)

// run is a run that has not ended.
type run struct {
	dispatch.Run
	spawn      position   // of its last spawn command; until it is sent, only the order is set
	received   bool       // the pool is known to have read the spawn command
	uncertain  bool       // it is unknown whether the pool has read the last command
	cancelled  bool       // its result is no longer wanted
	restarting bool       // it was suspended, and is restarted once the pool confirms that
	reply      *callReply // nil: there is none, or the pool has read it
}

// callReply is the reply to a run's call, until the pool is known to have read it.
type callReply struct {
	body   []byte
	supply position // of the supply command
}

// write sends a command that was appended to b.scratch[:0], and keeps its buffer for reuse.
func (b *Backend) write(command []byte) {
	b.scratch = command[:0]
	b.current.Write(command)
}

// nextOrder returns the number of the next command.
func (b *Backend) nextOrder() int {
	b.lastOrder++
	return b.lastOrder
}

// nextPosition returns the position of the command that is sent next on the current connection.
func (b *Backend) nextPosition() position {
	return position{connection: b.connections, order: b.nextOrder()}
}

func (b *Backend) sendSpawn(r *run) {
	r.spawn = b.nextPosition()
	b.write(pool.AppendSpawn(b.scratch[:0], r.ID, r.Class, r.Body))
	if r.cancelled {
		b.sendSuspend(r.ID)
	}
}

func (b *Backend) sendSuspend(id string) { b.write(pool.AppendSuspend(b.scratch[:0], id)) }

func (b *Backend) sendReply(r *run) {
	r.reply.supply = b.nextPosition()
	b.write(pool.AppendSupply(b.scratch[:0], r.ID, r.reply.body))
}
