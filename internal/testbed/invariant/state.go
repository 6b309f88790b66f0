package invariant

import (
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
)

type fault struct {
	kind, server string
	until        microtime.Time
}

// globalRun is a run of an intake at some server.
type globalRun struct {
	u      *run
	server string
	from   string // the caller: an edge, where there are edges
	life   int    // of that caller
}

type due struct {
	at microtime.Time
	r  *request
}

// server is one life of a log server with its worker pool.
type server struct {
	name    string
	life    int
	born    microtime.Time
	noticed microtime.Time // to leave; Never: not
	paused  []span
	reqs    map[string]*request // by ID
	keys    map[string]*key
	runs    map[string]*run
	open    []*request // in order; answered ones are taken out at the audit
	running int
	crowd   float64 // integral of the running over the last FallOver
	marks   []mark
	ended   bool
	links   int            // to its worker pool, open
	notice  uint64         // the highest that has reached it
	strays  int            // errors answered to what is no request
	tried   microtime.Time // when it last tried to reach its worker pool
	calls   []*call        // open, or made a short while ago
	checks  []check
	callsAt string // the address of the vault in its configuration; "": not told
	// callsMoved is when that was told.
	callsMoved microtime.Time
	// blockedTold is the number of the last notice that a run waits for a call which its worker pool has sent.
	blockedTold uint64
}

type span struct{ from, to microtime.Time }

// mark is a change of the running, for the average.
type mark struct {
	at microtime.Time
	n  int
}

type key struct {
	runs  []*run
	tries []*request
}

// run is what a worker pool did for one ID.
type run struct {
	id     string
	at     microtime.Time // of the try
	ended  bool
	made   bool // it is a run: not declined, nor found needless
	end    pool.Outcome
	result []byte
	before *run // of the same ID, which a safe class may have
	points []*point
	// endHeard is when the notice of its end reached the server; 0: not yet.
	endHeard microtime.Time
}

type note struct {
	at   microtime.Time
	text string
}

// request is one try.
type request struct {
	s        *server
	c        *conn
	id       string
	seq      int32
	class    int
	once     string // with the tenant; "" where not keyed
	at       microtime.Time
	arrived  microtime.Time
	kb       float64
	body     uint64
	answers  int
	gaveUp   bool
	over     bool // no answer is owed any more
	notes    []note
	running  bool
	answered microtime.Time
	kind     string // of the first answer
	// overSince is when the server knew that it is over; 0: not yet.
	overSince microtime.Time
}

type connKind uint8

const (
	other connKind = iota
	front
	office
	link
	vaultLink
)

// conn is one connection, as seen at both machines.
type conn struct {
	kind      connKind
	s         *server
	got       []byte // of a worker pool's link, at the log server
	in, out   []byte // read so far and not yet whole: to the server, from the server
	open      map[int32]*request
	hand      *request // AJP: the request in hand
	head      ajp.Request
	body      []byte
	status    int
	result    []byte
	broken    bool   // no message can be told from the next any more
	left      bool   // the caller closed its end, or the network did
	addr      string // that was dialled
	from      string
	fromLife  int
	lastGiven int32
}
