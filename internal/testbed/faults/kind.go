package faults

import (
	"slices"
)

// Kind is the type of a fault. Its value is the name that scripts use.
type Kind string

// The kinds of fault. Node, Peer, For, What and Amount are the fields of Fault; the kind's rule says which of them it
// takes.
const (
	// Kill kills the server's process and its worker pool, and restarts both after For with a cold start. Amount is the
	// number of calls into the program before the kill, which may fall in the middle of a turn.
	Kill Kind = "kill"
	// MachineLost is a Kill of the whole machine: its peers get neither an end of stream nor a reset.
	MachineLost Kind = "vanish"
	// Terminate sends the server the notice to drain, and restarts it For after its exit with a cold start.
	Terminate Kind = "term"
	// ReloadConfig reloads the settings, with other addresses for the worker pool and the health reports.
	ReloadConfig Kind = "hup"
	// Pause stops the process from running.
	Pause Kind = "pause"
	// SlowPool multiplies the worker pool's processing times by Amount.
	SlowPool Kind = "slow"
	// CostlyClass multiplies the worker pool's processing times for the class What by Amount.
	CostlyClass Kind = "costly"
	// StallPath delays all traffic between Node and Peer until the fault ends; nothing is lost.
	StallPath Kind = "stall"
	// CutConnection breaks connections of Node to Peer after Amount more bytes from Node.
	CutConnection Kind = "cut"
	// HalfClose closes the direction from Node of connections between Node and Peer.
	HalfClose Kind = "half"
	// AddLatency adds Amount milliseconds of latency between Node and Peer, in each direction.
	AddLatency Kind = "lag"
	// LimitBandwidth limits each connection between Node and Peer to Amount bytes a second in each direction.
	LimitBandwidth Kind = "thin"
	// Blackhole makes connects between Node and Peer time out, and drops datagrams between them.
	Blackhole Kind = "dark"
	// DropDatagrams drops datagrams between Node and Peer with probability Amount.
	DropDatagrams Kind = "lose"
	// DuplicateDatagrams delivers datagrams between Node and Peer twice with probability Amount.
	DuplicateDatagrams Kind = "double"
	// TrafficSurge multiplies the request rate of the tenant (with a vault: the class) What by Amount.
	TrafficSurge Kind = "flood"
	// CallerCrash kills the proxy and restarts it after For, with its old endpoint list and one unused address in it.
	CallerCrash Kind = "die"
	// StaleEndpoints withholds changes of the endpoint list from the proxy.
	StaleEndpoints Kind = "stale"
	// ImpatientCaller makes the proxy cancel requests after Amount milliseconds.
	ImpatientCaller Kind = "hasty"
	// LateCancel makes the proxy cancel requests that were already answered, and request numbers that it never used.
	LateCancel Kind = "give-late"
	// CallerStopsReading makes the proxy stop reading from its connections.
	CallerStopsReading Kind = "deaf"
	// ImmediateRetry makes the proxy retry rejected requests without a delay.
	ImmediateRetry Kind = "insist"
	// OverlappingAttempts makes the proxy send another attempt of a keyed request every Amount milliseconds while the
	// previous one has no answer. It does not cancel that one.
	OverlappingAttempts Kind = "overlap"
	// ConnectionLimit limits the open connections of the server's machine to Amount.
	ConnectionLimit Kind = "table"
	// UnidentifiedConnections opens Amount connections to the server that send nothing, or an incomplete message.
	UnidentifiedConnections Kind = "strangers"
	// DuplicateNotices makes the worker pool send each of its notices twice.
	DuplicateNotices Kind = "doubled"
	// RegistryDown stops the control plane.
	RegistryDown Kind = "mute"
	// StoreSlow adds Amount milliseconds to each write to the store of record.
	StoreSlow Kind = "store-slow"
	// StoreFail makes writes to the store of record fail.
	StoreFail Kind = "store-fail"
)

// The kinds of fault of the vault.
const (
	// VaultDown makes the vault refuse connections, and resets those that are open.
	VaultDown Kind = "vault-down"
	// VaultSlow multiplies the vault's processing times by Amount.
	VaultSlow Kind = "vault-slow"
	// VaultRefusing makes the vault reject calls with probability Amount.
	VaultRefusing Kind = "vault-refusing"
	// VaultFailing ends calls with the outcome What with probability Amount; half of them have taken effect by then.
	VaultFailing Kind = "vault-failing"
	// VaultBreakReply cuts the connection in the middle of a reply with probability Amount.
	VaultBreakReply Kind = "vault-break"
	// VaultReorder delays replies so that they arrive out of order.
	VaultReorder Kind = "vault-shuffle"
	// VaultStrayReply, with probability Amount, sends a reply twice or adds a reply to a call that was never made.
	VaultStrayReply Kind = "vault-stray"
	// VaultSilent makes the vault accept calls without replying.
	VaultSilent Kind = "vault-silent"
	// VaultHang makes connects to the vault time out.
	VaultHang Kind = "vault-hang"
)

// rule defines which fields of Fault a kind uses, and their allowed values.
type rule struct {
	node   string   // allowed first letters of Node; "": Node is unused
	peer   bool     // Peer is used
	length bool     // For is used
	what   []string // allowed values of What; nil: What is unused
	lo, hi float64  // the bounds of Amount; both 0: Amount is unused
}

// Tenants and Classes are the values that What may have in a simulation without a vault.
var (
	Tenants = []string{"hill-estate", "lake-vines", "valley-rows"}
	Classes = []string{"block-view", "lot-update", "lot-intake"}
)

// VaultClasses are the classes of a simulation with a vault, which has no tenants.
var VaultClasses = []string{"page-view", "page-save", "print-order"}

// IndeterminateCallOutcomes are outcomes after which the caller cannot know whether the call took effect.
var IndeterminateCallOutcomes = []string{"failed", "overdue"}

// anyNode holds the first letters of the names of all nodes: servers, proxies, web frontends, worker pools, the control
// plane, edges and the vault.
const anyNode = "spowcev"

// rules maps each kind of fault to its rule.
var rules = map[Kind]rule{
	Kill:                    {node: "se", length: true, hi: 1000},
	MachineLost:             {node: "se", length: true},
	Terminate:               {node: "se", length: true},
	ReloadConfig:            {node: "s"},
	Pause:                   {node: "se", length: true},
	SlowPool:                {node: "w", length: true, lo: 1, hi: 100},
	CostlyClass:             {node: "w", length: true, what: Classes, lo: 1, hi: 100},
	StallPath:               {node: anyNode, peer: true, length: true},
	CutConnection:           {node: anyNode, peer: true, hi: 1e7},
	HalfClose:               {node: anyNode, peer: true},
	AddLatency:              {node: anyNode, peer: true, length: true, hi: 10_000},
	LimitBandwidth:          {node: anyNode, peer: true, length: true, lo: 1000, hi: 1e9},
	Blackhole:               {node: anyNode, peer: true, length: true},
	DropDatagrams:           {node: anyNode, peer: true, length: true, hi: 1},
	DuplicateDatagrams:      {node: anyNode, peer: true, length: true, hi: 1},
	TrafficSurge:            {length: true, what: Tenants, lo: 1, hi: 100},
	CallerCrash:             {node: "p", length: true},
	StaleEndpoints:          {node: "p", length: true},
	ImpatientCaller:         {node: "p", length: true, hi: 10_000},
	LateCancel:              {node: "p", length: true},
	CallerStopsReading:      {node: "p", length: true},
	ImmediateRetry:          {node: "p", length: true},
	OverlappingAttempts:     {node: "p", length: true, lo: 1, hi: 10_000},
	ConnectionLimit:         {node: "s", length: true, hi: 10_000},
	UnidentifiedConnections: {node: "s", lo: 1, hi: 5000},
	DuplicateNotices:        {node: "w", length: true},
	RegistryDown:            {length: true},
	StoreSlow:               {node: "s", length: true, hi: 60_000},
	StoreFail:               {node: "s", length: true},
	VaultDown:               {node: "v", length: true},
	VaultSlow:               {node: "v", length: true, lo: 1, hi: 100},
	VaultRefusing:           {node: "v", length: true, hi: 1},
	VaultFailing:            {node: "v", length: true, what: IndeterminateCallOutcomes, hi: 1},
	VaultBreakReply:         {node: "v", length: true, hi: 1},
	VaultReorder:            {node: "v", length: true},
	VaultStrayReply:         {node: "v", length: true, hi: 1},
	VaultSilent:             {node: "v", length: true},
	VaultHang:               {node: "v", length: true},
}

// Kinds returns all kinds of fault, sorted by name.
func Kinds() []Kind {
	all := make([]Kind, 0, len(rules))
	for kind := range rules {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}
