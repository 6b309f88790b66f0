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

// otherID is the attempt ID of a second safe request.
const otherID = "00000000000000c3"

// If the link breaks after a run command was sent, a keyed run is not sent again: the pool may have received it, and
// would run it a second time if it has ended by then. A safe run is sent again. If the notice of the keyed run arrives,
// the request is answered with it.
func TestPossiblyReceivedRunIsNotResent(t *testing.T) {
	fixture := newPoolFixture(t)
	require.Contains(t, fixture.submit(keyedID, "lot-intake", "k1"), "spawn "+keyedID)
	require.Contains(t, fixture.submit(safeID, "block-view", ""), "spawn "+safeID)
	fixture.breakPoolLink()
	resent := fixture.connectPool("bound LOADED 100\r\n")
	require.NotContains(t, resent, keyedID)
	require.Contains(t, resent, "spawn "+safeID)
	fixture.poolSends(finishedNotice(1, keyedID, "ok") + finishedNotice(2, safeID, "ok"))
	fixture.requireReplies(thrift.ReplyAnswer, 2)
}

// A keyed run that was requested while there was no link has never been sent, and is sent on the next link.
func TestUnsentRunIsSentOnNextLink(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.breakPoolLink()
	require.NotContains(t, fixture.submit(keyedID, "lot-intake", "k1"), "spawn")
	require.Contains(t, fixture.connectPool("bound LOADED 100\r\n"), "spawn "+keyedID)
}

// A command that the pool is known to have received is not sent again: a later notice on the same link, or the answer
// to a later poll, proves that it was received.
func TestReceivedCommandsAreNotResent(t *testing.T) {
	for _, tc := range []struct {
		name        string
		proof       string
		withOtherID bool // Submits the run to which the notice belongs.
	}{
		{"notice", finishedNotice(1, otherID, "ok"), true},
		{"poll", "polled g 0 0 0 0\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newPoolFixture(t)
			fixture.submit(safeID, "block-view", "")
			if tc.withOtherID {
				fixture.submit(otherID, "block-view", "")
			}
			fixture.srv.backends.pool.RequestGauges()
			fixture.poolSends(tc.proof)
			fixture.submit("00000000000000d4", "block-view", "")
			fixture.breakPoolLink()
			resent := fixture.connectPool("bound LOADED 100\r\n")
			require.NotContains(t, resent, safeID)
			require.Contains(t, resent, "spawn 00000000000000d4")
		})
	}
}

// A keyed run whose command and notice were lost fails at its deadline. A retry within the retention window fails as
// well and does not run. After the window, the server retains nothing of the run.
func TestLostKeyedRunFailsOnce(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.submit(keyedID, "lot-intake", "k1")
	fixture.breakPoolLink()
	fixture.connectPool("bound LOADED 100\r\n")
	fixture.advance(fixture.now + 5*microtime.Second)
	fixture.requireReplies(thrift.ReplyBroken, 1)
	fixture.connectClient("c2")
	require.NotContains(t, fixture.submit("00000000000000a2", "lot-intake", "k1"), "spawn")
	fixture.advance(fixture.now + 5*microtime.Second)
	fixture.requireReplies(thrift.ReplyBroken, 1)
	require.Equal(t, 1, fixture.srv.backends.pool.Status().Runs)
	fixture.advance(fixture.now + 10*microtime.Second) // Past the retention window.
	require.Zero(t, fixture.srv.backends.pool.Status().Runs)
	require.Zero(t, fixture.srv.backends.pool.Status().Uncertain)
	require.Contains(t, strings.Join(fixture.logged, "\n"), "not known whether a run was executed: run=")
	fixture.connectClient("c3")
	require.Contains(t, fixture.submit("00000000000000a3", "lot-intake", "k1"), "spawn 00000000000000a3")
}

// A corrupt notice is not used as an answer: its number is too high, missing or repeated, its result is too long, it is
// truncated, or it belongs to a run that was never sent to the pool. The next link resumes after the last notice that
// arrived in order, and the notices on it are the answers.
func TestCorruptNotices(t *testing.T) {
	for name, corrupt := range map[string]string{
		"number too high":     "finished 1000000 " + safeID + " PASS 8 3\r\nbad\r\n",
		"notice missing":      finishedNotice(2, otherID, "c3"),
		"result too long":     "finished 1 " + safeID + " PASS 8 4097\r\n",
		"length too small":    "finished 1 " + safeID + " PASS 8 1\r\nbad\r\n",
		"unknown outcome":     "finished 1 " + safeID + " DONE 8 2\r\nok\r\n",
		"number not numeric":  "finished one " + safeID + " PASS 8 2\r\nok\r\n",
		"negative number":     "finished -1 " + safeID + " PASS 8 2\r\nok\r\n",
		"truncated result":    "finished 1 " + safeID + " PASS 8 2\r\no\r\n" + finishedNotice(2, otherID, "c3"),
		"fields missing":      "finished 1 " + safeID + " 2\r\nok\r\n",
		"unterminated line":   strings.Repeat("x", 1<<10),
		"unknown message":     "finnished 1\r\n",
		"unknown bound state": "bound MAYBE 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newPoolFixture(t)
			fixture.submit(safeID, "block-view", "")
			fixture.submit(otherID, "block-view", "")
			fixture.poolSends(corrupt)
			require.Nil(t, fixture.pool.session, "the link is closed")
			require.Empty(t, fixture.replyKinds())
			fixture.openPoolLink()
			require.Equal(t, "bind 0\r\n", string(fixture.pool.out))
			fixture.poolSends("bound LOADED 100\r\n" + finishedNotice(1, safeID, "ok") + finishedNotice(2, otherID, "c3"))
			// A repeated notice, and a notice of an unknown run.
			fixture.poolSends(finishedNotice(2, otherID, "else") + finishedNotice(3, "00000000000000dd", "ok"))
			require.Contains(t, string(fixture.client.out), "c3")
			require.NotContains(t, string(fixture.client.out), "bad")
			require.NotContains(t, string(fixture.client.out), "else")
			fixture.requireReplies(thrift.ReplyAnswer, 2)
			require.Zero(t, fixture.srv.backends.pool.Status().Runs)
			require.NotNil(t, fixture.pool.session)
		})
	}
}

// A keyed run whose notice was corrupt is not sent again, whatever the notice contained. The request is answered once,
// at its deadline, and a retry does not run.
func TestCorruptNoticeOfKeyedRun(t *testing.T) {
	for name, corrupt := range map[string]string{
		"number too high": finishedNotice(7, keyedID, "ok"),
		"result too long": "finished 1 " + keyedID + " PASS 8 9000\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newPoolFixture(t)
			require.Contains(t, fixture.submit(keyedID, "lot-intake", "k1"), "spawn "+keyedID)
			fixture.poolSends(corrupt)
			require.NotContains(t, fixture.connectPool("bound LOADED 100\r\n"), "spawn")
			fixture.advance(fixture.now + 5*microtime.Second)
			fixture.requireReplies(thrift.ReplyBroken, 1)
			fixture.connectClient("c2")
			require.NotContains(t, fixture.submit("00000000000000a2", "lot-intake", "k1"), "spawn")
			fixture.poolSends(finishedNotice(1, keyedID, "ok")) // The valid notice arrives late.
			fixture.requireReplies(thrift.ReplyAnswer, 1)
		})
	}
}

// A notice of a run that still waits to be sent is ignored, because the pool has never received the run.
func TestNoticeOfUnsentRun(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.breakPoolLink()
	fixture.submit(safeID, "block-view", "")
	fixture.openPoolLink()
	fixture.poolSends("bound LOADED 100\r\n" + finishedNotice(1, safeID, "ok"))
	require.Empty(t, fixture.replyKinds())
	sent := fixture.poolSends("polled sync" + strconv.Itoa(fixture.poolLinks) + " 0 0 0 0\r\n")
	require.Contains(t, sent, "spawn "+safeID)
	fixture.poolSends(finishedNotice(2, safeID, "ok"))
	fixture.requireReplies(thrift.ReplyAnswer, 1)
}

// A pool that retains too few notices has lost some permanently. The first link that starts with a gap is closed; the
// second one resumes after the gap, and the safe run is sent again. A run whose notice was lost ends by its deadline.
func TestNoticesLostForGood(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.submit(safeID, "block-view", "")
	fixture.breakPoolLink()
	fixture.openPoolLink()
	fixture.poolSends("bound LOADED 100\r\n" + finishedNotice(4001, otherID, "c3"))
	require.Nil(t, fixture.pool.session)
	sent := fixture.connectPool("bound LOADED 100\r\n" + finishedNotice(4002, "00000000000000c4", "c4"))
	require.Contains(t, sent, "spawn "+safeID)
	fixture.poolSends(finishedNotice(4003, safeID, "ok"))
	fixture.requireReplies(thrift.ReplyAnswer, 1)
	require.Contains(t, strings.Join(fixture.logged, "\n"), "notices are lost: first=1 last=4001")
}

// A chatter message may take the number of a notice, and is then sent again on a new link, or it may take none. In both
// cases the link stays open, and a gap in the numbers that no chatter message accounts for still closes it.
func TestChatterMayTakeNumbers(t *testing.T) {
	for _, tc := range []struct {
		name         string
		first        int // The number of the first notice.
		second       int // The number of the second notice.
		takesNumbers bool
	}{
		{"chatter takes numbers", 3, 4, true},
		{"chatter takes none", 1, 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newPoolFixture(t)
			fixture.submit(safeID, "block-view", "")
			fixture.submit(otherID, "block-view", "")
			fixture.poolSends("chatter 1 all is well\r\nchatter 2 all is well\r\n" +
				"chatter 2 once more\r\nchatter 900 too high\r\n")
			fixture.poolSends(finishedNotice(tc.first, safeID, "ok") + finishedNotice(tc.second, otherID, "ok"))
			fixture.requireReplies(thrift.ReplyAnswer, 2)
			require.NotNil(t, fixture.pool.session)
			unknownRun := finishedNotice(6, "00000000000000dd", "ok")
			fixture.poolSends(unknownRun)
			require.Nil(t, fixture.pool.session)
			if tc.takesNumbers { // The missed chatter message is sent again and accounts for the gap.
				fixture.connectPool("bound LOADED 9\r\nchatter 5 well\r\n" + unknownRun)
				require.NotNil(t, fixture.pool.session)
				require.NotContains(t, strings.Join(fixture.logged, "\n"), "are lost")
			}
		})
	}
}

// A worker pool may start long after the link to it is open. No run is sent before the link is bound. Runs that were
// requested before are then sent once, except for requests that were answered at their deadline.
func TestPoolStartsLate(t *testing.T) {
	fixture := &poolFixture{loopFixture: newLoopFixture(t, config.AJP{})}
	fixture.connectClient("c1")
	fixture.openPoolLink()
	require.NotContains(t, fixture.submit(safeID, "block-view", ""), "spawn")
	fixture.advance(fixture.now + 6*microtime.Second)
	require.Len(t, fixture.replyKinds(), 1, "the request is answered at its deadline without the pool")
	fixture.connectClient("c2")
	require.NotContains(t, fixture.submit(keyedID, "lot-intake", "k1"), "spawn")
	require.Empty(t, fixture.poolSends("bound LOADED 0\r\n")[len("poll sync1\r\n"):])
	sent := fixture.poolSends("polled sync1 0 0 0 0\r\n")
	require.Equal(t, 1, strings.Count(sent, "spawn "+keyedID))
	require.NotContains(t, sent, safeID)
	fixture.poolSends(finishedNotice(1, keyedID, "ok"))
	fixture.requireReplies(thrift.ReplyAnswer, 1)
}
