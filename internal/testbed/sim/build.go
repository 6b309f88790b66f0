package sim

import (
	"fmt"

	"pewterline/internal/config"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/simnet"
)

// Shares of the request rate that proxies and web frontends send if a script has both.
const (
	proxyTrafficShare       = 0.75
	webFrontendTrafficShare = 0.25
)

// edgeCallerID is the caller ID of the first edge. It is far above the IDs of the fake callers.
const edgeCallerID = 1000

// build starts the servers, the edges and the callers, and schedules the faults. The order affects the digest of a run.
func (s *simulation) build() {
	targets := s.startServers()
	if s.script.Edges > 0 {
		targets = s.startEdges(targets)
	}
	s.startCallers(targets)
	s.pairCallers()
	for _, fault := range s.script.Faults {
		s.clock.At(simnet.Start+fault.At, func() { s.inject(fault) })
	}
}

// startServers starts the servers with their worker pools, and returns their names.
func (s *simulation) startServers() (names []string) {
	for index := range s.script.Servers {
		server := s.newInstance('s', index)
		if s.script.Store {
			server.store = fakes.NewStore(s.clock)
		}
		s.servers = append(s.servers, server)
		names = append(names, server.name)
		server.boot(false)
	}
	return names
}

// startEdges starts the edges, which forward requests to the servers, and returns their names.
func (s *simulation) startEdges(servers []string) (names []string) {
	for index := range s.script.Edges {
		edge := s.newInstance('e', index)
		edge.isEdge = true
		fleet := &edge.config.Fleet
		fleet.CallerID = uint32(edgeCallerID + index)
		for _, name := range servers {
			fleet.Members = append(fleet.Members, config.Member{Name: name, Address: name + "/thrift"})
		}
		fleet.GossipListen = edge.name + gossipSuffix
		if s.script.Gossip {
			fleet.GossipPeers = s.gossipPeers(index)
		}
		s.edges = append(s.edges, edge)
		names = append(names, edge.name)
		edge.boot(false)
	}
	return names
}

// gossipPeers returns the gossip addresses of all edges except the one with index self.
func (s *simulation) gossipPeers(self int) (peers []string) {
	for index := range s.script.Edges {
		if index != self {
			peers = append(peers, nodeName('e', index)+gossipSuffix)
		}
	}
	return peers
}

// newInstance returns an instance that is not started yet.
func (s *simulation) newInstance(letter byte, index int) *instance {
	created := &instance{sim: s, name: nodeName(letter, index), config: s.baseConfig}
	created.config.Name = created.name
	created.config.ControlAddress = "control/a"
	return created
}

// startCallers starts the proxies, then the web frontends.
func (s *simulation) startCallers(targets []string) {
	proxyRate, webFrontendRate := s.callerRates()
	until := simnet.Start + s.script.Length
	number := 0
	start := func(name string, isAJP bool, rate float64) {
		number++
		s.callers[name] = fakes.NewCaller(s.environment, fakes.CallerConfig{
			Name:      name,
			Number:    number,
			AJP:       isAJP,
			Rate:      rate,
			Until:     until,
			Endpoints: targets,
			Seed:      s.script.Seed,
		})
	}
	for index := range s.script.Proxies {
		start(nodeName('p', index), false, proxyRate)
	}
	for index := range s.script.WebFrontends {
		start(nodeName('o', index), true, webFrontendRate)
	}
}

// callerRates returns the requests per second of one proxy and of one web frontend.
func (s *simulation) callerRates() (proxy, webFrontend float64) {
	proxies, webFrontends := s.script.Proxies, s.script.WebFrontends
	if proxies > 0 && webFrontends > 0 {
		proxy = proxyTrafficShare * s.script.Rate / float64(proxies)
		webFrontend = webFrontendTrafficShare * s.script.Rate / float64(webFrontends)
		return proxy, webFrontend
	}
	rate := s.script.Rate / float64(max(proxies+webFrontends, 1))
	return rate, rate
}

// pairCallers assigns a web frontend to each proxy, and a proxy to each web frontend, for retries over the other
// protocol.
func (s *simulation) pairCallers() {
	if s.script.WebFrontends == 0 {
		return
	}
	for index := range s.script.Proxies {
		proxy := s.callers[nodeName('p', index)]
		webFrontend := s.callers[nodeName('o', index%s.script.WebFrontends)]
		proxy.OtherProtocol = webFrontend
		webFrontend.OtherProtocol = proxy
	}
}

// nodeName returns the name of a node: the letter of its kind followed by its index.
func nodeName(letter byte, index int) string { return fmt.Sprintf("%c%d", letter, index) }
