package server

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// Guards the once-only rule where the link breaks behind a command: an intake that may have arrived is not sent again,
// as its run may end while the command is under way; a safe read is. The intake's notice, if it comes, is its answer.
func TestPossiblyReceivedRunIsNotResent(t *testing.T) {
	l := newPoolFixture(t)
	require.Contains(t, l.submit(intakeID, "lot-intake", "k1"), "spawn "+intakeID)
	require.Contains(t, l.submit(viewID, "block-view", ""), "spawn "+viewID)
	l.breakPoolLink()
	again := l.connectPool("bound LOADED 100\r\n")
	require.NotContains(t, again, intakeID)
	require.Contains(t, again, "spawn "+viewID)
	l.poolSends("finished 1 " + intakeID + " PASS 80 2\r\nok\r\nfinished 2 " + viewID + " PASS 80 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer, 2: thrift.ReplyAnswer}, l.replyKinds())
}

// An intake that was asked for while there was no link was never sent, and is sent on the new one.
func TestUnsentRunIsSentOnNextLink(t *testing.T) {
	l := newPoolFixture(t)
	l.breakPoolLink()
	require.NotContains(t, l.submit(intakeID, "lot-intake", "k1"), "spawn")
	require.Contains(t, l.connectPool("bound LOADED 100\r\n"), "spawn "+intakeID)
}

// What is known to have arrived is not sent again: a later notice on the same link or the answer to a later poll
// tells so.
func TestReceivedCommandsAreNotResent(t *testing.T) {
	for name, proof := range map[string]string{
		"notice": "finished 1 00000000000000c3 PASS 8 2\r\nok\r\n", "poll": "polled g 0 0 0 0\r\n",
	} {
		l := newPoolFixture(t)
		l.submit(viewID, "block-view", "")
		if name == "notice" {
			l.submit("00000000000000c3", "block-view", "")
		}
		l.srv.backends.pool.RequestGauges()
		l.poolSends(proof)
		l.submit("00000000000000d4", "block-view", "")
		l.breakPoolLink()
		again := l.connectPool("bound LOADED 100\r\n")
		require.NotContains(t, again, viewID, name)
		require.Contains(t, again, "spawn 00000000000000d4", name)
	}
}

// An intake whose command and notice never came has failed in the end: nothing of it is left, and a repeat within its
// window is told so and does not run.
func TestLostKeyedRunFailsOnce(t *testing.T) {
	l := newPoolFixture(t)
	l.submit(intakeID, "lot-intake", "k1")
	l.breakPoolLink()
	l.connectPool("bound LOADED 100\r\n")
	l.advance(l.now + 5*microtime.Second)
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyBroken}, l.replyKinds())
	l.caller, l.seq = l.loopFixture.connect("c2", 0), 0
	require.NotContains(t, l.submit("00000000000000a2", "lot-intake", "k1"), "spawn")
	l.advance(l.now + 5*microtime.Second)
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyBroken}, l.replyKinds())
	require.Equal(t, 1, l.srv.backends.pool.Status().Runs)
	l.advance(l.now + 10*microtime.Second) // past the window
	require.Zero(t, l.srv.backends.pool.Status().Runs)
	require.Zero(t, l.srv.backends.pool.Status().Uncertain)
	require.True(t, strings.Contains(strings.Join(l.logged, "\n"), "whether it ran is not known"))
	l.caller, l.seq = l.loopFixture.connect("c3", 0), 0
	require.Contains(t, l.submit("00000000000000a3", "lot-intake", "k1"), "spawn 00000000000000a3")
}

// Guards the runs against spoilt notices: a number that is too high, one that is missing and one that comes again, a
// length past what a result may have, a result cut in the middle, and the end of a run that the pool was never given. None
// of it is served, the next link is bound with the last notice that came in order, and what comes on it is the answer.
func TestCorruptNotices(t *testing.T) {
	for name, spoilt := range map[string]string{
		"too high":           "finished 1000000 " + viewID + " PASS 8 3\r\nbad\r\n",
		"missing":            "finished 2 00000000000000c3 PASS 8 2\r\nc3\r\n",
		"too long":           "finished 1 " + viewID + " PASS 8 4097\r\n",
		"length too small":   "finished 1 " + viewID + " PASS 8 1\r\nbad\r\n",
		"no end":             "finished 1 " + viewID + " DONE 8 2\r\nok\r\n",
		"no number":          "finished one " + viewID + " PASS 8 2\r\nok\r\n",
		"negative":           "finished -1 " + viewID + " PASS 8 2\r\nok\r\n",
		"cut in the middle":  "finished 1 " + viewID + " PASS 8 2\r\no\r\nfinished 2 00000000000000c3 PASS 8 2\r\nc3\r\n",
		"words are missing":  "finished 1 " + viewID + " 2\r\nok\r\n",
		"no line ever ends":  strings.Repeat("x", 1<<10),
		"no message at all":  "finnished 1\r\n",
		"bound with no word": "bound MAYBE 0\r\n",
	} {
		l := newPoolFixture(t)
		l.submit(viewID, "block-view", "")
		l.submit("00000000000000c3", "block-view", "")
		l.poolSends(spoilt)
		require.Nil(t, l.pool.session, name+": the link is closed")
		require.Empty(t, l.replyKinds(), name)
		l.poolLinks++
		l.pool = l.loopFixture.connect("pool", -1)
		l.turn()
		require.Equal(t, "bind 0\r\n", string(l.pool.out), name)
		l.poolSends("bound LOADED 100\r\nfinished 1 " + viewID + " PASS 8 2\r\nok\r\nfinished 2 00000000000000c3 PASS 8 2\r\nc3\r\n")
		l.poolSends("finished 2 00000000000000c3 PASS 8 4\r\nelse\r\nfinished 3 00000000000000dd PASS 8 2\r\nok\r\n") // once more, and a stranger's
		require.Contains(t, string(l.caller.out), "c3", name)
		require.NotContains(t, string(l.caller.out), "bad", name)
		require.NotContains(t, string(l.caller.out), "else", name)
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer, 2: thrift.ReplyAnswer}, l.replyKinds(), name)
		require.Zero(t, l.srv.backends.pool.Status().Runs, name)
		require.NotNil(t, l.pool.session, name)
	}
}

// An intake whose notice was spoilt is not sent again, whatever the notice said; it gets its one answer by its due time,
// and its repeat does not run.
func TestCorruptNoticeOfKeyedRun(t *testing.T) {
	for _, spoilt := range []string{"finished 7 " + intakeID + " PASS 8 2\r\nok\r\n", "finished 1 " + intakeID + " PASS 8 9000\r\nok\r\n"} {
		l := newPoolFixture(t)
		require.Contains(t, l.submit(intakeID, "lot-intake", "k1"), "spawn "+intakeID)
		l.poolSends(spoilt)
		require.NotContains(t, l.connectPool("bound LOADED 100\r\n"), "spawn")
		l.advance(l.now + 5*microtime.Second)
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyBroken}, l.replyKinds())
		l.caller, l.seq = l.loopFixture.connect("c2", 0), 0
		require.NotContains(t, l.submit("00000000000000a2", "lot-intake", "k1"), "spawn")
		l.poolSends("finished 1 " + intakeID + " PASS 8 2\r\nok\r\n") // it comes after all
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replyKinds())
	}
}

// Guards against a result for a run that waits for its link: the pool was never given it.
func TestNoticeOfUnsentRun(t *testing.T) {
	l := newPoolFixture(t)
	l.breakPoolLink()
	l.submit(viewID, "block-view", "")
	l.poolLinks++
	l.pool = l.loopFixture.connect("pool", -1)
	l.poolSends("bound LOADED 100\r\nfinished 1 " + viewID + " PASS 8 2\r\nok\r\n")
	require.Empty(t, l.replyKinds())
	require.Contains(t, l.poolSends("polled sync"+strconv.Itoa(l.poolLinks)+" 0 0 0 0\r\n"), "spawn "+viewID)
	l.poolSends("finished 2 " + viewID + " PASS 8 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replyKinds())
}

// A pool that keeps too few notices has lost some for good: the second link that begins with the gap goes on behind it,
// and what was never told of ends by its due time.
func TestNoticesLostForGood(t *testing.T) {
	l := newPoolFixture(t)
	l.submit(viewID, "block-view", "")
	l.breakPoolLink()
	l.poolLinks++
	l.pool = l.loopFixture.connect("pool", -1)
	l.poolSends("bound LOADED 100\r\nfinished 4001 00000000000000c3 PASS 8 2\r\nc3\r\n")
	require.Nil(t, l.pool.session)
	require.Contains(t, l.connectPool("bound LOADED 100\r\nfinished 4002 00000000000000c4 PASS 8 2\r\nc4\r\n"), "spawn "+viewID)
	l.poolSends("finished 4003 " + viewID + " PASS 8 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replyKinds())
	require.Contains(t, strings.Join(l.logged, "\n"), "notices 1 to 4001 are lost")
}

// A remark without a meaning may take a number of the notices' own, and is told again on a new link; it may also take
// none. Either way the link goes on, and a number that no remark accounts for still ends it.
func TestRemarksMayTakeNumbers(t *testing.T) {
	for _, numbers := range [][2]string{{"3", "4"}, {"1", "2"}} {
		l := newPoolFixture(t)
		l.submit(viewID, "block-view", "")
		l.submit("00000000000000c3", "block-view", "")
		l.poolSends("chatter 1 all is well\r\nchatter 2 all is well\r\nchatter 2 once more\r\nchatter 900 too high\r\n")
		l.poolSends("finished " + numbers[0] + " " + viewID + " PASS 8 2\r\nok\r\nfinished " + numbers[1] + " 00000000000000c3 PASS 8 2\r\nok\r\n")
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer, 2: thrift.ReplyAnswer}, l.replyKinds())
		require.NotNil(t, l.pool.session)
		l.poolSends("finished 6 00000000000000dd PASS 8 2\r\nok\r\n")
		require.Nil(t, l.pool.session)
		if numbers[0] == "3" { // the remark that was missed is told again and accounts for the gap
			l.connectPool("bound LOADED 9\r\nchatter 5 well\r\nfinished 6 00000000000000dd PASS 8 2\r\nok\r\n")
			require.NotNil(t, l.pool.session)
			require.NotContains(t, strings.Join(l.logged, "\n"), "are lost")
		}
	}
}

// A worker pool that comes up long after the link to it: nothing is sent before it is bound, what was asked for meanwhile
// runs then, once, and what became due in between has had its answer and is not run.
func TestPoolStartsLate(t *testing.T) {
	l := &poolFixture{loopFixture: newLoopFixture(t, config.AJP{})}
	l.caller = l.loopFixture.connect("c1", 0)
	l.poolLinks++
	l.pool = l.loopFixture.connect("pool", -1)
	l.turn()
	require.NotContains(t, l.submit(viewID, "block-view", ""), "spawn")
	l.advance(l.now + 6*microtime.Second)
	require.Len(t, l.replyKinds(), 1, "it has its answer, whatever the pool does")
	l.caller, l.seq = l.loopFixture.connect("c2", 0), 0
	require.NotContains(t, l.submit(intakeID, "lot-intake", "k1"), "spawn")
	require.Empty(t, l.poolSends("bound LOADED 0\r\n")[len("poll sync1\r\n"):])
	sent := l.poolSends("polled sync1 0 0 0 0\r\n")
	require.Equal(t, 1, strings.Count(sent, "spawn "+intakeID))
	require.NotContains(t, sent, viewID)
	l.poolSends("finished 1 " + intakeID + " PASS 8 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replyKinds())
}
