package workerpool

import (
	"pewterline/internal/dispatch"
	"pewterline/internal/protocol/pool"
)

// run is a run that has not ended.
type run struct {
	dispatch.Run
	spawn      position   // of its last spawn command; until that is sent, only the order of Start
	received   bool       // the pool is known to have read the spawn command
	uncertain  bool       // it is unknown whether the pool has received it
	cancelled  bool       // its result is no longer wanted
	restarting bool       // it is being suspended to be restarted
	reply      *callReply // nil: there is none, or the pool has read it
}

// callReply is the reply to a run's call, until the pool is known to have read it.
type callReply struct {
	body   []byte
	supply position // of the supply command
}

// write sends a command that was appended to the scratch buffer.
func (b *Backend) write(command []byte) {
	b.scratch = command[:0]
	b.current.Write(command)
}

// nextOrder numbers a command.
func (b *Backend) nextOrder() int {
	b.lastOrder++
	return b.lastOrder
}

// nextPosition is that of a command that is sent now.
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
