package scenario

import (
	"strconv"
	"strings"
	"time"
)

// The actions in this file delay, repeat and lose messages.

// actDropTxnResponses handles "drop_txn_responses NODE D [late=D]": the store applies NODE's
// transactions, after a delay with late=D, and drops the responses.
func (s *script) actDropTxnResponses(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		w.store.droppedTxnResponses[n.name] = droppedResponses{w.now.Add(parseDuration(f[2])), durationArg(keyValues(f[3:]), "late", 0)}
	}
}

// actDelayTxns handles "delay_txns D share=S [at_once=true]": a share of the transactions gets no
// response and is applied 2 to 12 s later, or immediately with at_once=true.
func (s *script) actDelayTxns(f []string) {
	w := s.world
	a := keyValues(f[2:])
	w.store.delayedTxns = faultShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(a, "share", 0.3), atOnce: a["at_once"] == "true"}
}

// actDuplicateReports handles "duplicate_reports D share=S [next_leader=true]": a share of the
// heartbeats arrives again, 2 s to two leases later, or when the next leader starts.
func (s *script) actDuplicateReports(f []string) {
	w := s.world
	a := keyValues(f[2:])
	w.duplicateReports = faultShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(a, "share", 0.3), forNextLeader: a["next_leader"] == "true"}
}

// actDuplicateCommands handles "duplicate_commands D share=S": a share of the direct commands, and of
// the leader's replies that relays pass on, arrives again 2 to 16 s later, also at a process or a
// machine that has restarted since.
func (s *script) actDuplicateCommands(f []string) {
	w := s.world
	w.duplicateCommands = faultShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(keyValues(f[2:]), "share", 0.3)}
}

// actSlowState handles "slow_state D by=D": the key-value store delays its responses.
func (s *script) actSlowState(f []string) {
	w := s.world
	w.store.slowUntil, w.store.slowDelay = w.now.Add(parseDuration(f[1])), durationArg(keyValues(f[2:]), "by", 2*time.Second)
}

// actBlockInbound handles "block_inbound N|zone=Z D": responses and probes to the machines are
// lost; their heartbeats arrive.
func (s *script) actBlockInbound(f []string) {
	w := s.world
	for _, m := range s.selectMachines(f[1]) {
		m.inboundBlockedUntil = w.now.Add(parseDuration(f[2]))
	}
}

// actBlockReports handles "block_reports N|zone=Z D": heartbeats are lost, probes are answered.
func (s *script) actBlockReports(f []string) {
	w := s.world
	for _, m := range s.selectMachines(f[1]) {
		m.reportsBlockedUntil = w.now.Add(parseDuration(f[2]))
	}
}

// actLatency handles "latency D": sets the network latency.
func (s *script) actLatency(f []string) {
	w := s.world
	w.net.latency = parseDuration(f[1])
}

// actPartition handles "partition WHO D hold|reset [only=HOSTS] [nodes=NODES]": separates WHO from
// all hosts, or from HOSTS: names, leader, follower, peers (all controllers), workers, state, user.
// Messages are held until the partition ends, or dropped.
func (s *script) actPartition(f []string) {
	hosts, zone := s.partitionHosts(f)
	only := s.partitionPeers(keyValues(f[3:])["only"])
	s.net.addPartition(hosts, only, f[3] == "hold", parseDuration(f[2]), zone)
}

// partitionHosts returns the hosts that WHO of a partition names, and the zone for zone=Z.
func (s *script) partitionHosts(f []string) (hosts map[string]bool, zone string) {
	hosts = map[string]bool{}
	if n := s.node(f[1]); n != nil {
		hosts[n.name] = true
		return hosts, ""
	}
	if f[1] == "user" {
		hosts["user"] = true
		return hosts, ""
	}
	zone, inZone := strings.CutPrefix(f[1], "zone=")
	if !inZone {
		n, _ := strconv.Atoi(f[1])
		for _, m := range s.busiest(n) {
			hosts[m.host] = true
		}
		return hosts, ""
	}
	for _, m := range s.cloud.machines {
		if m.zone == zone {
			hosts[m.host] = true
		}
	}
	nodes := keyValues(f[3:])["nodes"] // controllers in the zone
	if nodes == "" {
		nodes = "n0"
	}
	for word := range strings.SplitSeq(nodes, ",") {
		if n := s.node(word); n != nil {
			hosts[n.name] = true
		}
	}
	return hosts, zone
}

// partitionPeers returns the hosts on the other side of a partition, or nil for all.
func (s *script) partitionPeers(words string) map[string]bool {
	if words == "" {
		return nil
	}
	only := map[string]bool{}
	for word := range strings.SplitSeq(words, ",") {
		only[word] = true
		if n := s.node(word); n != nil {
			only[n.name] = true
		}
		switch word {
		case "workers":
			for _, m := range s.cloud.machines {
				only[m.host] = true
			}
		case "peers":
			for _, n := range s.nodes {
				only[n.name] = true
			}
		}
	}
	return only
}
