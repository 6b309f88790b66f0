package peers

import (
	"iter"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
)

// The limits of a batch. They are far below those of the protocol, so that a vote does not wait behind a large message.
const (
	maxBatchBytes = 64 << 10 // by the estimate of requestSize and replySize
	maxBatchItems = 256
)

// The estimated encoded sizes of a request and of a reply without key and result, in bytes.
const (
	requestOverhead = 100
	replyOverhead   = 120
)

// noticeInterval is the time between two notices of the same membership to a server that still has an earlier epoch.
const noticeInterval = 500 * microtime.Millisecond

// membershipNotice decides when to send the membership to the other end of a link, if that has an earlier epoch.
type membershipNotice struct {
	pending   bool
	lastEpoch uint64 // that was sent
	lastAt    microtime.Time
}

// take returns the membership if it has to be sent now, and nil otherwise.
func (n *membershipNotice) take(now microtime.Time, membership *consensus.Membership) *consensus.Membership {
	repeated := n.lastEpoch == membership.Epoch && now < n.lastAt+noticeInterval
	due := n.pending && membership.Epoch != 0 && !repeated
	n.pending = false
	if !due {
		return nil
	}
	n.lastEpoch = membership.Epoch
	n.lastAt = now
	return membership
}

func requestSize(request *consensus.Request) int {
	return requestOverhead + len(request.Key) + len(request.Value.Result)
}

func replySize(reply *consensus.Reply) int {
	return replyOverhead + len(reply.Key) + len(reply.Value.Result)
}

// batches splits items into parts that each fit into one message. An item over maxBatchBytes is a part of its own.
func batches[T any](items []T, size func(*T) int) iter.Seq[[]T] {
	return func(yield func([]T) bool) {
		for len(items) > 0 {
			count := 0
			bytes := 0
			for count < len(items) && count < maxBatchItems && (count == 0 || bytes < maxBatchBytes) {
				bytes += size(&items[count])
				count++
			}
			if !yield(items[:count]) {
				return
			}
			items = items[count:]
		}
	}
}

// receiveMessages handles the complete messages at the front of in. It returns how many bytes they took.
func receiveMessages(in []byte, handle func(replicationwire.Message) error) (int, error) {
	consumed := 0
	for {
		message, size, err := replicationwire.Parse(in[consumed:])
		if err != nil || size == 0 {
			return consumed, err
		}
		if err := handle(message); err != nil {
			return consumed, err
		}
		consumed += size
	}
}
