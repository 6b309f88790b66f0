package sim

import (
	"slices"

	"pewterline/internal/testbed/simnet"
)

// unlimitedConnections is more connections than any node opens.
const unlimitedConnections = 1 << 30

// This file injects the faults of the network: faults of the path between two nodes, and of connections.

func (s *simulation) path(f injection) *simnet.Path { return s.net.Path(f.Node, f.Peer) }

func (s *simulation) stallPath(f injection) {
	path := s.path(f)
	path.StalledUntil = max(path.StalledUntil, f.until)
}

func (s *simulation) blackholePath(f injection) {
	path := s.path(f)
	path.LostUntil = max(path.LostUntil, f.until)
}

func (s *simulation) addLatency(f injection) {
	path, normal := s.path(f), s.net.Default.Latency
	path.Latency = normal + f.milliseconds()
	s.clock.At(f.until, func() { path.Latency = normal })
}

func (s *simulation) limitBandwidth(f injection) {
	path, normal := s.path(f), s.net.Default.Bandwidth
	path.Bandwidth = int(f.Amount)
	s.clock.At(f.until, func() { path.Bandwidth = normal })
}

func (s *simulation) dropDatagrams(f injection) {
	path, normal := s.path(f), s.net.Default.Loss
	path.Loss = f.Amount
	s.clock.At(f.until, func() { path.Loss = normal })
}

func (s *simulation) duplicateDatagrams(f injection) {
	path, normal := s.path(f), s.net.Default.Duplicate
	path.Duplicate = f.Amount
	s.clock.At(f.until, func() { path.Duplicate = normal })
}

func (s *simulation) cutConnections(f injection) {
	s.eachOpenStream(f, func(stream *simnet.Stream) { stream.CutAfter(int(f.Amount)) })
}

func (s *simulation) halfCloseConnections(f injection) {
	s.eachOpenStream(f, (*simnet.Stream).CutWrite)
}

// eachOpenStream calls impair with each open connection from Node to Peer. It iterates over a copy, and skips
// connections that an earlier call of impair has closed.
func (s *simulation) eachOpenStream(f injection, impair func(*simnet.Stream)) {
	for _, stream := range slices.Clone(s.net.Node(f.Node).Streams()) {
		if stream.IsOpen() && stream.Peer() == f.Peer {
			impair(stream)
		}
	}
}

func (s *simulation) limitConnections(f injection) {
	node := s.net.Node(f.Node)
	node.SetMaxConnections(int(f.Amount))
	s.clock.At(f.until, func() { node.SetMaxConnections(unlimitedConnections) })
}

func (s *simulation) connectUnidentified(f injection) {
	s.environment.ConnectUnidentified(f.Node, int(f.Amount), s.clock.Rand())
}
