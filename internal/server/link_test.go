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

// linked is a server with one caller, and a worker pool that the test plays.
type linked struct {
	*stage
	caller, pool *fakeLink
	links        int
	seq          int32
}

func newLinked(t *testing.T) *linked {
	l := &linked{stage: newStage(t, config.AJP{})}
	l.caller = l.stage.connect("c1", 0)
	l.link("bound LOADED 0\r\n")
	return l
}

// link opens the next link to the pool, which tells what was missed on it; it returns what the server then sends.
func (l *linked) link(missed string) string {
	l.links++
	l.pool = l.stage.connect("pool", -1)
	l.turn()
	l.tell(missed)
	return l.tell("polled sync" + strconv.Itoa(l.links) + " 0 0 0 0\r\n")
}

// tell has the pool say something; it returns what the server sends it in that turn.
func (l *linked) tell(text string) string {
	l.pool.out = nil
	l.deliver(l.pool, []byte(text))
	l.turn()
	return string(l.pool.out)
}

// ask sends a request under an id; it returns what the server sends to the pool.
func (l *linked) ask(id, class, once string) string {
	l.seq++
	l.pool.out = nil
	at := strconv.FormatInt(int64(l.now/microtime.Millisecond), 10)
	l.deliver(l.caller, thrift.AppendCall(nil, l.seq, []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id}, {Name: "at", Value: at},
		{Name: "from", Value: "4"}, {Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "9"}, {Name: "rank", Value: "0.1"},
		{Name: "once", Value: once}}, []byte("b")))
	l.turn()
	return string(l.pool.out)
}

// broken has the link break.
func (l *linked) broken() {
	l.pool.closed = true
	l.turn()
}

// replies are the kinds of answer that the caller has got since the last time, by number.
func (l *linked) replies() map[int32]thrift.ReplyKind {
	out := map[int32]thrift.ReplyKind{}
	for in := l.caller.out; len(in) > 0; {
		payload, n, err := thrift.SplitFrame(in)
		require.NoError(l.t, err)
		p, err := thrift.DecodeReply(payload)
		require.NoError(l.t, err)
		if p.Kind != thrift.ReplyFarewell {
			out[p.SequenceID] = p.Kind
		}
		in = in[n:]
	}
	l.caller.out = nil
	return out
}

const (
	intake = "00000000000000a1"
	view   = "00000000000000b2"
)

// Guards the once-only rule where the link breaks behind a command: an intake that may have arrived is not sent again,
// as its run may end while the command is under way; a safe read is. The intake's notice, if it comes, is its answer.
func TestIntakeThatMayHaveArrivedIsNotSentAgain(t *testing.T) {
	l := newLinked(t)
	require.Contains(t, l.ask(intake, "lot-intake", "k1"), "spawn "+intake)
	require.Contains(t, l.ask(view, "block-view", ""), "spawn "+view)
	l.broken()
	again := l.link("bound LOADED 100\r\n")
	require.NotContains(t, again, intake)
	require.Contains(t, again, "spawn "+view)
	l.tell("finished 1 " + intake + " PASS 80 2\r\nok\r\nfinished 2 " + view + " PASS 80 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer, 2: thrift.ReplyAnswer}, l.replies())
}

// An intake that was asked for while there was no link was never sent, and is sent on the new one.
func TestIntakeThatWasNeverSentIsSent(t *testing.T) {
	l := newLinked(t)
	l.broken()
	require.NotContains(t, l.ask(intake, "lot-intake", "k1"), "spawn")
	require.Contains(t, l.link("bound LOADED 100\r\n"), "spawn "+intake)
}

// What is known to have arrived is not sent again: a later notice on the same link or the answer to a later poll
// tells so.
func TestCommandsThatArrivedAreNotSentAgain(t *testing.T) {
	for name, proof := range map[string]string{
		"notice": "finished 1 00000000000000c3 PASS 8 2\r\nok\r\n", "poll": "polled g 0 0 0 0\r\n",
	} {
		l := newLinked(t)
		l.ask(view, "block-view", "")
		if name == "notice" {
			l.ask("00000000000000c3", "block-view", "")
		}
		l.srv.backends.pool.RequestGauges()
		l.tell(proof)
		l.ask("00000000000000d4", "block-view", "")
		l.broken()
		again := l.link("bound LOADED 100\r\n")
		require.NotContains(t, again, view, name)
		require.Contains(t, again, "spawn 00000000000000d4", name)
	}
}

// An intake whose command and notice never came has failed in the end: nothing of it is left, and a repeat within its
// window is told so and does not run.
func TestLostIntakeFailsAndDoesNotRunAgain(t *testing.T) {
	l := newLinked(t)
	l.ask(intake, "lot-intake", "k1")
	l.broken()
	l.link("bound LOADED 100\r\n")
	l.advance(l.now + 5*microtime.Second)
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyBroken}, l.replies())
	l.caller, l.seq = l.stage.connect("c2", 0), 0
	require.NotContains(t, l.ask("00000000000000a2", "lot-intake", "k1"), "spawn")
	l.advance(l.now + 5*microtime.Second)
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyBroken}, l.replies())
	require.Equal(t, 1, l.srv.backends.pool.Status().Runs)
	l.advance(l.now + 10*microtime.Second) // past the window
	require.Zero(t, l.srv.backends.pool.Status().Runs)
	require.Zero(t, l.srv.backends.pool.Status().Uncertain)
	require.True(t, strings.Contains(strings.Join(l.logged, "\n"), "whether it ran is not known"))
	l.caller, l.seq = l.stage.connect("c3", 0), 0
	require.Contains(t, l.ask("00000000000000a3", "lot-intake", "k1"), "spawn 00000000000000a3")
}

// Guards the runs against spoilt notices: a number that is too high, one that is missing and one that comes again, a
// length past what a result may have, a result cut in the middle, and the end of a run that the pool was never given. None
// of it is served, the next link is bound with the last notice that came in order, and what comes on it is the answer.
func TestSpoiltNotices(t *testing.T) {
	for name, spoilt := range map[string]string{
		"too high":           "finished 1000000 " + view + " PASS 8 3\r\nbad\r\n",
		"missing":            "finished 2 00000000000000c3 PASS 8 2\r\nc3\r\n",
		"too long":           "finished 1 " + view + " PASS 8 4097\r\n",
		"length too small":   "finished 1 " + view + " PASS 8 1\r\nbad\r\n",
		"no end":             "finished 1 " + view + " DONE 8 2\r\nok\r\n",
		"no number":          "finished one " + view + " PASS 8 2\r\nok\r\n",
		"negative":           "finished -1 " + view + " PASS 8 2\r\nok\r\n",
		"cut in the middle":  "finished 1 " + view + " PASS 8 2\r\no\r\nfinished 2 00000000000000c3 PASS 8 2\r\nc3\r\n",
		"words are missing":  "finished 1 " + view + " 2\r\nok\r\n",
		"no line ever ends":  strings.Repeat("x", 1<<10),
		"no message at all":  "finnished 1\r\n",
		"bound with no word": "bound MAYBE 0\r\n",
	} {
		l := newLinked(t)
		l.ask(view, "block-view", "")
		l.ask("00000000000000c3", "block-view", "")
		l.tell(spoilt)
		require.Nil(t, l.pool.session, name+": the link is closed")
		require.Empty(t, l.replies(), name)
		l.links++
		l.pool = l.stage.connect("pool", -1)
		l.turn()
		require.Equal(t, "bind 0\r\n", string(l.pool.out), name)
		l.tell("bound LOADED 100\r\nfinished 1 " + view + " PASS 8 2\r\nok\r\nfinished 2 00000000000000c3 PASS 8 2\r\nc3\r\n")
		l.tell("finished 2 00000000000000c3 PASS 8 4\r\nelse\r\nfinished 3 00000000000000dd PASS 8 2\r\nok\r\n") // once more, and a stranger's
		require.Contains(t, string(l.caller.out), "c3", name)
		require.NotContains(t, string(l.caller.out), "bad", name)
		require.NotContains(t, string(l.caller.out), "else", name)
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer, 2: thrift.ReplyAnswer}, l.replies(), name)
		require.Zero(t, l.srv.backends.pool.Status().Runs, name)
		require.NotNil(t, l.pool.session, name)
	}
}

// An intake whose notice was spoilt is not sent again, whatever the notice said; it gets its one answer by its due time,
// and its repeat does not run.
func TestSpoiltNoticeOfAnIntake(t *testing.T) {
	for _, spoilt := range []string{"finished 7 " + intake + " PASS 8 2\r\nok\r\n", "finished 1 " + intake + " PASS 8 9000\r\nok\r\n"} {
		l := newLinked(t)
		require.Contains(t, l.ask(intake, "lot-intake", "k1"), "spawn "+intake)
		l.tell(spoilt)
		require.NotContains(t, l.link("bound LOADED 100\r\n"), "spawn")
		l.advance(l.now + 5*microtime.Second)
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyBroken}, l.replies())
		l.caller, l.seq = l.stage.connect("c2", 0), 0
		require.NotContains(t, l.ask("00000000000000a2", "lot-intake", "k1"), "spawn")
		l.tell("finished 1 " + intake + " PASS 8 2\r\nok\r\n") // it comes after all
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replies())
	}
}

// Guards against a result for a run that waits for its link: the pool was never given it.
func TestNoticeOfARunNeverSent(t *testing.T) {
	l := newLinked(t)
	l.broken()
	l.ask(view, "block-view", "")
	l.links++
	l.pool = l.stage.connect("pool", -1)
	l.tell("bound LOADED 100\r\nfinished 1 " + view + " PASS 8 2\r\nok\r\n")
	require.Empty(t, l.replies())
	require.Contains(t, l.tell("polled sync"+strconv.Itoa(l.links)+" 0 0 0 0\r\n"), "spawn "+view)
	l.tell("finished 2 " + view + " PASS 8 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replies())
}

// A pool that keeps too few notices has lost some for good: the second link that begins with the gap goes on behind it,
// and what was never told of ends by its due time.
func TestNoticesLostForGood(t *testing.T) {
	l := newLinked(t)
	l.ask(view, "block-view", "")
	l.broken()
	l.links++
	l.pool = l.stage.connect("pool", -1)
	l.tell("bound LOADED 100\r\nfinished 4001 00000000000000c3 PASS 8 2\r\nc3\r\n")
	require.Nil(t, l.pool.session)
	require.Contains(t, l.link("bound LOADED 100\r\nfinished 4002 00000000000000c4 PASS 8 2\r\nc4\r\n"), "spawn "+view)
	l.tell("finished 4003 " + view + " PASS 8 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replies())
	require.Contains(t, strings.Join(l.logged, "\n"), "notices 1 to 4001 are lost")
}

// A remark without a meaning may take a number of the notices' own, and is told again on a new link; it may also take
// none. Either way the link goes on, and a number that no remark accounts for still ends it.
func TestRemarksMayTakeNumbers(t *testing.T) {
	for _, numbers := range [][2]string{{"3", "4"}, {"1", "2"}} {
		l := newLinked(t)
		l.ask(view, "block-view", "")
		l.ask("00000000000000c3", "block-view", "")
		l.tell("chatter 1 all is well\r\nchatter 2 all is well\r\nchatter 2 once more\r\nchatter 900 too high\r\n")
		l.tell("finished " + numbers[0] + " " + view + " PASS 8 2\r\nok\r\nfinished " + numbers[1] + " 00000000000000c3 PASS 8 2\r\nok\r\n")
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer, 2: thrift.ReplyAnswer}, l.replies())
		require.NotNil(t, l.pool.session)
		l.tell("finished 6 00000000000000dd PASS 8 2\r\nok\r\n")
		require.Nil(t, l.pool.session)
		if numbers[0] == "3" { // the remark that was missed is told again and accounts for the gap
			l.link("bound LOADED 9\r\nchatter 5 well\r\nfinished 6 00000000000000dd PASS 8 2\r\nok\r\n")
			require.NotNil(t, l.pool.session)
			require.NotContains(t, strings.Join(l.logged, "\n"), "are lost")
		}
	}
}

// A worker pool that comes up long after the link to it: nothing is sent before it is bound, what was asked for meanwhile
// runs then, once, and what became due in between has had its answer and is not run.
func TestPoolThatComesUpLate(t *testing.T) {
	l := &linked{stage: newStage(t, config.AJP{})}
	l.caller = l.stage.connect("c1", 0)
	l.links++
	l.pool = l.stage.connect("pool", -1)
	l.turn()
	require.NotContains(t, l.ask(view, "block-view", ""), "spawn")
	l.advance(l.now + 6*microtime.Second)
	require.Len(t, l.replies(), 1, "it has its answer, whatever the pool does")
	l.caller, l.seq = l.stage.connect("c2", 0), 0
	require.NotContains(t, l.ask(intake, "lot-intake", "k1"), "spawn")
	require.Empty(t, l.tell("bound LOADED 0\r\n")[len("poll sync1\r\n"):])
	sent := l.tell("polled sync1 0 0 0 0\r\n")
	require.Equal(t, 1, strings.Count(sent, "spawn "+intake))
	require.NotContains(t, sent, view)
	l.tell("finished 1 " + intake + " PASS 8 2\r\nok\r\n")
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replies())
}
