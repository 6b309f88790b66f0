package edge

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

// standIn is a worker pool of the test's own: each run takes the same time on one of its cores.
type standIn struct {
	s     *stage
	link  *fakeLink
	cores int
	work  micro.Time
	queue []string
	ends  map[string]micro.Time
	runs  map[string]int // by body: how often each request was run
	n     int
}

func (p *standIn) read() {
	for {
		line, in, ok := bytes.Cut(p.link.out, []byte("\r\n"))
		if !ok {
			break
		}
		p.link.out = in
		switch w := bytes.Fields(line); string(w[0]) {
		case "spawn":
			n, _ := strconv.Atoi(string(w[3]))
			p.runs[string(in[:n])]++
			p.queue = append(p.queue, string(w[1]))
			p.link.out = in[n+2:]
		case "suspend":
			id := string(w[1])
			if _, ok := p.ends[id]; ok {
				delete(p.ends, id)
				p.finish(id, "KILLED")
			}
		case "poll":
			busy := float64(len(p.ends)) / float64(p.cores)
			p.s.deliver(p.link, fmt.Appendf(nil, "polled %s %.2f %d 0.1 4\r\n", w[1], busy, len(p.ends)+len(p.queue)))
		case "bind":
			p.s.deliver(p.link, []byte("bound LOADED 0\r\n"))
		}
	}
	for len(p.queue) > 0 && len(p.ends) < p.cores {
		p.ends[p.queue[0]] = p.s.now + p.work
		p.queue = p.queue[1:]
	}
}

func (p *standIn) finish(id, end string) {
	p.n++
	p.s.deliver(p.link, fmt.Appendf(nil, "finished %d %s %s 100 2\r\nok\r\n", p.n, id, end))
}

func (p *standIn) turn() {
	for _, id := range slices.Sorted(maps.Keys(p.ends)) {
		if p.s.now >= p.ends[id] {
			delete(p.ends, id)
			p.finish(id, "PASS")
		}
	}
	p.read()
}

// thriftStatus reads the status of a Thrift answer, in AJP's numbers.
func thriftStatus(t *testing.T, payload []byte) (seq int, status int) {
	name := bytes.Index(payload, []byte("process"))
	require.Positive(t, name, "%q", payload)
	seq = int(binary.BigEndian.Uint32(payload[name+7:]))
	return seq, map[byte]int{0: 200, 1: 503, 2: 502}[payload[name+13]]
}

// Guards what both fronts promise: the same treatment. Under four times what the pool can do, a Thrift caller
// and an AJP caller send requests mixed in the same turns, and then once more with the parts exchanged: what
// befell the one protocol must befall the other. Each request is answered once, and intakes run once however
// often they come, by either protocol.
func TestOverloadTreatsBothFrontsAlike(t *testing.T) {
	one, other := overload(t, false), overload(t, true)
	t.Logf("thrift %v, ajp %v; exchanged: thrift %v, ajp %v", one["thrift"], one["ajp"], other["thrift"], other["ajp"])
	require.Equal(t, one["thrift"], other["ajp"])
	require.Equal(t, one["ajp"], other["thrift"])
	for front, c := range one {
		require.Positive(t, c[200], front)
		require.Positive(t, c[503], "%s: no overload", front)
	}
}

// overload plays a minute and a half; it returns how many answers each protocol got, by status.
func overload(t *testing.T, exchanged bool) map[string]map[int]int {
	s := newStage(t, config.AJP{BodyTimeout: micro.Second, MaxBody: 100, MaxConns: 99, Connections: 2})
	p := &standIn{s: s, cores: 2, work: 200 * micro.Millisecond, ends: map[string]micro.Time{}, runs: map[string]int{}}
	p.link = s.connect("pool", -1)
	p.read()
	desk := s.connect("desk", 0)
	count := map[string]map[int]int{"thrift": {}, "ajp": {}}
	offices := map[*fakeLink]int{} // what each AJP connection's request is
	var idle []*fakeLink
	asked, answered, seq := 0, map[int]bool{}, 0
	collect := func() {
		for {
			payload, n, err := thrift.Split(desk.out)
			require.NoError(t, err)
			if payload == nil {
				break
			}
			desk.out = desk.out[n:]
			if bytes.Contains(payload, []byte("farewell")) {
				continue // in the calm at the end
			}
			got, status := thriftStatus(t, payload)
			require.False(t, answered[got], "two answers to request %d", got)
			answered[got] = true
			count["thrift"][status]++
		}
		for l, id := range offices {
			if len(l.out) == 0 {
				continue
			}
			payload, _, err := ajp.Split(l.out, ajp.FromContainer)
			require.NoError(t, err)
			head, err := ajp.ParseResponse(payload)
			require.NoError(t, err)
			require.False(t, answered[id], "two answers to request %d", id)
			answered[id] = true
			count["ajp"][head.Status]++
			if head.Status == 503 {
				require.Contains(t, fmt.Sprint(head.Headers), "Retry-After")
			}
			l.out = l.out[:0]
			delete(offices, l)
			idle = append(idle, l)
		}
	}
	call := func(class, once, body string) {
		seq++
		asked++
		f := []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: fmt.Sprintf("%016x", seq)},
			{Name: "at", Value: strconv.FormatInt(int64(s.now/micro.Millisecond), 10)}, {Name: "from", Value: "1"},
			{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "32"}, {Name: "rank", Value: "0.5"}, {Name: "once", Value: once}}
		s.deliver(desk, thrift.AppendCall(nil, int32(seq), f, []byte(body)))
	}
	forward := func(class, once, body string) {
		seq++
		asked++
		if len(idle) == 0 {
			idle = append(idle, s.connect(fmt.Sprintf("office%d", seq), 1))
		}
		l := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		offices[l] = seq
		out := ajp.AppendForward(nil, ajp.Request{Method: "POST", URI: "/" + class, Headers: []ajp.Header{
			{Name: "content-length", Value: strconv.Itoa(len(body))}, {Name: "X-Relay-Id", Value: fmt.Sprintf("%016x", seq)},
			{Name: "X-Relay-Tenant", Value: "hill-estate"}, {Name: "X-Relay-From", Value: "1"}, {Name: "X-Relay-Rank", Value: "0.5"}, {Name: "X-Relay-Once", Value: once}}})
		out, _ = ajp.AppendBody(out, []byte(body))
		s.deliver(l, out)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	const rounds = 600
	for i := range rounds * 5 { // a step is 20 ms; a round of two pairs is 100 ms: 40 a second where 10 can be done
		s.advance(s.now + 20*micro.Millisecond)
		p.turn()
		if i%5 == 0 && i < rounds*5-500 {
			one, two := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
			first, second := call, forward
			if exchanged != (rng.IntN(2) == 1) {
				first, second = forward, call
			}
			first("block-view", "", one)
			second("block-view", "", two)
			if rng.IntN(2) == 0 { // an intake, and perhaps its repeat by the other protocol
				first("lot-intake", one, "intake"+one)
				if rng.IntN(2) == 0 {
					second("lot-intake", one, "intake"+one)
				}
			}
		}
		s.turn()
		p.turn()
		s.turn()
		collect()
	}
	require.Len(t, answered, asked, "a request without an answer")
	for body, n := range p.runs {
		require.Equal(t, 1, n, "%s ran more than once", body)
	}
	return count
}
