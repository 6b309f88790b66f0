package edge

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/micro"
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
	at := strconv.FormatInt(int64(l.now/micro.Millisecond), 10)
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
		payload, n, err := thrift.Split(in)
		require.NoError(l.t, err)
		p, err := thrift.DecodeReply(payload)
		require.NoError(l.t, err)
		if p.Kind != thrift.Farewell {
			out[p.Seq] = p.Kind
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
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.Answered, 2: thrift.Answered}, l.replies())
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
		l.srv.pool.Poll()
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
	l.advance(l.now + 5*micro.Second)
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.Broken}, l.replies())
	l.caller, l.seq = l.stage.connect("c2", 0), 0
	require.NotContains(t, l.ask("00000000000000a2", "lot-intake", "k1"), "spawn")
	l.advance(l.now + 5*micro.Second)
	require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.Broken}, l.replies())
	require.Len(t, l.srv.pool.runs, 1)
	l.advance(l.now + 10*micro.Second) // past the window
	require.Empty(t, l.srv.pool.runs)
	require.Empty(t, l.srv.pool.doubts)
	require.True(t, strings.Contains(strings.Join(l.logged, "\n"), "whether it ran is not known"))
	l.caller, l.seq = l.stage.connect("c3", 0), 0
	require.Contains(t, l.ask("00000000000000a3", "lot-intake", "k1"), "spawn 00000000000000a3")
}
