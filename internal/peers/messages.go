package peers

import (
	"iter"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
)

// The limits of a batch. They are far below those of the protocol, so that large messages do not delay votes.
const (
	maxBatchBytes = 64 << 10 // as estimated by requestSize and replySize
	maxBatchItems = 256
)

// The estimated encoded sizes of a request and a reply without key and result, in bytes.
const (
	requestOverhead = 100
	replyOverhead   = 120
)

// noticeInterval is the minimum time between two notices of the same membership on a link.
const noticeInterval = 500 * microtime.Millisecond

// membershipNotice decides when to send the membership to the other end of a link, which may have an earlier epoch.
type membershipNotice struct {
	pending       bool
	lastSentEpoch uint64 // epoch of the last membership sent
	lastSentAt    microtime.Time
}

// take clears the pending notice. It returns the membership if it must be sent now, and nil otherwise.
func (n *membershipNotice) take(now microtime.Time, membership *consensus.Membership) *consensus.Membership {
	repeated := n.lastSentEpoch == membership.Epoch && now < n.lastSentAt+noticeInterval
	due := n.pending && membership.Epoch != 0 && !repeated
	n.pending = false
	if !due {
		return nil
	}
	n.lastSentEpoch = membership.Epoch
	n.lastSentAt = now
	return membership
}

func requestSize(request *consensus.Request) int {
	return requestOverhead + len(request.Key) + len(request.Value.Result)
}

func replySize(reply *consensus.Reply) int {
	return replyOverhead + len(reply.Key) + len(reply.Value.Result)
}

// batches splits items into batches that each fit into one message. A batch ends with the item that reaches
// maxBatchBytes or maxBatchItems.
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

// receiveMessages handles the complete messages at the start of in. It returns the number of bytes consumed.
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
