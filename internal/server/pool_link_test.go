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

// otherID is the attempt ID of one more safe request.
const otherID = "00000000000000c3"

// Where the link breaks behind a command, a keyed run that may have arrived is not sent again, as it may end while the
// command is on its way; a safe one is. The notice of the keyed run, if it comes, is its answer.
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

// A keyed run that was wanted while there was no link was never sent, and is sent on the new one.
func TestUnsentRunIsSentOnNextLink(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.breakPoolLink()
	require.NotContains(t, fixture.submit(keyedID, "lot-intake", "k1"), "spawn")
	require.Contains(t, fixture.connectPool("bound LOADED 100\r\n"), "spawn "+keyedID)
}

// A command that is known to have arrived is not sent again: a later notice on the same link, or the answer to a later
// poll, shows that it has.
func TestReceivedCommandsAreNotResent(t *testing.T) {
	for _, tc := range []struct {
		name        string
		proof       string
		withOtherID bool // The notice needs a run that it is of.
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

// A keyed run whose command and notice were lost fails in the end: nothing of it is left, and a retry within the
// retention window is told so and does not run.
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

// A corrupt notice is not served: one whose number is too high, or missing, or comes again, one that is longer than a
// result may be, one that is cut, or the end of a run that the pool was never given. The next link resumes after the
// last notice that came in order, and what comes on it is the answer.
func TestCorruptNotices(t *testing.T) {
	for name, corrupt := range map[string]string{
		"number too high":     "finished 1000000 " + safeID + " PASS 8 3\r\nbad\r\n",
		"notice missing":      finishedNotice(2, otherID, "c3"),
		"result too long":     "finished 1 " + safeID + " PASS 8 4097\r\n",
		"length too small":    "finished 1 " + safeID + " PASS 8 1\r\nbad\r\n",
		"unknown outcome":     "finished 1 " + safeID + " DONE 8 2\r\nok\r\n",
		"no number":           "finished one " + safeID + " PASS 8 2\r\nok\r\n",
		"negative number":     "finished -1 " + safeID + " PASS 8 2\r\nok\r\n",
		"cut in the middle":   "finished 1 " + safeID + " PASS 8 2\r\no\r\n" + finishedNotice(2, otherID, "c3"),
		"fields missing":      "finished 1 " + safeID + " 2\r\nok\r\n",
		"line without end":    strings.Repeat("x", 1<<10),
		"no message at all":   "finnished 1\r\n",
		"bound without state": "bound MAYBE 0\r\n",
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
			// One that came before, and one of an unknown run.
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

// A keyed run whose notice was corrupt is not sent again, whatever the notice said: it gets its one answer by its
// deadline, and its retry does not run.
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
			fixture.poolSends(finishedNotice(1, keyedID, "ok")) // It comes after all.
			fixture.requireReplies(thrift.ReplyAnswer, 1)
		})
	}
}

// A result for a run that waits for its link is ignored: the pool was never given the run.
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

// A pool that keeps too few notices has lost some for good: the second link that begins with the gap resumes after it,
// and a run whose notice was lost ends by its deadline.
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

// A remark without a meaning may take a number of the notices' own, and is then sent again on a new link; it may also
// take none. Either way the link goes on, and a number that no remark accounts for still ends it.
func TestRemarksMayTakeNumbers(t *testing.T) {
	for _, tc := range []struct {
		name         string
		first        int // The numbers of the notices.
		second       int
		takesNumbers bool
	}{
		{"remarks take numbers", 3, 4, true},
		{"remarks take none", 1, 2, false},
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
			if tc.takesNumbers { // The remark that was missed is sent again and accounts for the gap.
				fixture.connectPool("bound LOADED 9\r\nchatter 5 well\r\n" + unknownRun)
				require.NotNil(t, fixture.pool.session)
				require.NotContains(t, strings.Join(fixture.logged, "\n"), "are lost")
			}
		})
	}
}

// A worker pool may start long after the link to it is open. Nothing is sent before it is bound; what was wanted
// meanwhile runs then, once, and what reached its deadline in between has had its answer and does not run.
func TestPoolStartsLate(t *testing.T) {
	fixture := &poolFixture{loopFixture: newLoopFixture(t, config.AJP{})}
	fixture.connectClient("c1")
	fixture.openPoolLink()
	require.NotContains(t, fixture.submit(safeID, "block-view", ""), "spawn")
	fixture.advance(fixture.now + 6*microtime.Second)
	require.Len(t, fixture.replyKinds(), 1, "it has its answer, whatever the pool does")
	fixture.connectClient("c2")
	require.NotContains(t, fixture.submit(keyedID, "lot-intake", "k1"), "spawn")
	require.Empty(t, fixture.poolSends("bound LOADED 0\r\n")[len("poll sync1\r\n"):])
	sent := fixture.poolSends("polled sync1 0 0 0 0\r\n")
	require.Equal(t, 1, strings.Count(sent, "spawn "+keyedID))
	require.NotContains(t, sent, safeID)
	fixture.poolSends(finishedNotice(1, keyedID, "ok"))
	fixture.requireReplies(thrift.ReplyAnswer, 1)
}
