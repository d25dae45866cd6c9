// Package node wires the core to its sockets and timers.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"yewpass/internal/api"
	"yewpass/internal/cloud"
	"yewpass/internal/config"
	"yewpass/internal/core"
	"yewpass/internal/engine"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/kvclient"
	"yewpass/internal/operators"
	"yewpass/internal/peer"
	"yewpass/internal/peermsg"
	"yewpass/internal/provider"
	"yewpass/internal/relay"
	"yewpass/internal/request"
)

// limitRuntime makes the runtime keep to the machine. The collector runs rarely while
// the heap is small, and as often as it must near the limit.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemMB * 0.65 * (1 << 20)))
	debug.SetGCPercent(400)
}

// Run runs a node until it fails.
func Run(cfg *config.Config, ops *operators.File) error {
	limitRuntime(cfg)
	clients, err := net.Listen("tcp", cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp", cfg.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return err
	}
	inbox, urgent := make(chan any, 1024), make(chan any, 256)
	leaving := make(chan os.Signal, 1)
	signal.Notify(leaving, syscall.SIGTERM, syscall.SIGINT)
	n := &node{
		core:      core.New(cfg, ops.Policy, ops.Calendars, binary.LittleEndian.Uint64(seed[:])),
		store:     kvclient.New(cfg.External.State, urgent),
		cloud:     cloud.New(cfg.External.Cloud, inbox),
		prober:    api.NewProber(inbox),
		mesh:      peer.New(cfg.HostName, cfg.Seeds, peers, inbox),
		replies:   map[uint64]chan<- any{},
		refs:      map[chan<- any]uint64{},
		gauges:    newGauges(),
		startedAt: time.Now(),
	}
	n.core.SetRegions(ops.Regions)
	failed := make(chan error, 1)
	go func() {
		failed <- api.Serve(clients, relay.MaxClientConnections(maxSockets(cfg)), inbox, n.isReady)
	}()
	slog.Info("node started", "node", cfg.HostName, "zone", cfg.Site)
	return n.loop(urgent, inbox, failed, leaving)
}

type node struct {
	core        *core.Core
	store       *kvclient.Client
	cloud       *cloud.Client
	prober      *api.Prober
	mesh        *peer.Mesh
	lastRef     uint64
	replies     map[uint64]chan<- any // whom to answer
	refs        map[chan<- any]uint64
	ready       atomic.Bool
	lastStep    atomic.Int64 // when the core last took an input, since began
	startedAt   time.Time
	gauges      *gauges
	gaugesSetAt time.Time // when the gauges were last set
	userQueue   userQueue
}

// loop takes inputs until the node fails or is told to end. What the state service says
// goes first: on a node that has fallen behind, the leader lease would run out while its
// renewal waits in line, and the next leader would have all the more to catch up with.
func (n *node) loop(urgent, inbox <-chan any, failed <-chan error, leaving <-chan os.Signal) error {
	timer := time.NewTimer(0)
	var shutdown <-chan time.Time
	for {
		var in any
		select {
		case in = <-urgent:
		default:
			in = n.userQueue.next(len(inbox) == 0)
		}
		if in == nil {
			select {
			case in = <-urgent:
			case in = <-inbox:
			case <-timer.C:
				in = core.Tick{}
			case err := <-failed:
				return err
			case s := <-leaving:
				// What is on its way has shutdownGrace to go out; a second signal does
				// not wait for that.
				if shutdown != nil {
					return nil
				}
				slog.Info("node stopping", "signal", s.String())
				shutdown, in = time.After(shutdownGrace), core.Leave{}
			case <-shutdown:
				return nil
			}
			if isUserRequest(in) {
				n.queueRequest(in)
				continue
			}
		}
		n.step(in)
		timer.Reset(max(time.Until(n.core.NextWake()), time.Millisecond))
	}
}

// queueRequest keeps a user's request until it is its turn.
func (n *node) queueRequest(in any) {
	if !n.userQueue.add(in) {
		n.rejectOverload(in)
	}
}

// step has the core take an input, and performs what follows from it.
func (n *node) step(in any) {
	switch x := in.(type) {
	case api.Exchange:
		in = n.register(x)
	case api.Abandoned:
		ref := n.refs[x.Reply]
		n.forget(ref)
		in = heartbeat.Abandoned{Ref: ref}
	}
	now := time.Now()
	for _, output := range n.core.Step(now, in) {
		n.perform(output)
	}
	n.ready.Store(n.core.Ready())
	n.lastStep.Store(int64(now.Sub(n.startedAt)))
	if now.Sub(n.gaugesSetAt) >= gaugesInterval {
		n.gaugesSetAt = now
		stats := n.core.Stats()
		n.gauges.now.Store(&stats)
	}
}

// gaugesInterval is how often the figures of the metrics page are set.
const gaugesInterval = time.Second

// shutdownGrace is how long a node that was told to end goes on, to give its leadership
// back and to answer who waits.
const shutdownGrace = 400 * time.Millisecond

// stallThreshold is how long the core may stand still and the node still counts as
// ready. It takes an input every second at the least.
const stallThreshold = 4 * time.Second

// isReady is what the load balancer is told. It is asked beside the core, which
// must not be said to be ready when it has not said so itself for a while.
func (n *node) isReady() bool {
	return n.ready.Load() && time.Since(n.startedAt)-time.Duration(n.lastStep.Load()) < stallThreshold
}

// maxSockets is how many sockets the node may have: what its settings say, or less
// where the system lets a process open fewer files.
func maxSockets(cfg *config.Config) int {
	most := cfg.Settings.Limits.MaxConnections
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) != nil || files.Cur >= uint64(most) {
		return most
	}
	slog.Warn("the system allows fewer open files than max_connections", "max_connections", most, "files", files.Cur)
	return int(files.Cur)
}

// rejectOverload tells a user at once to come back: more calls wait than can be taken
// in time.
func (n *node) rejectOverload(in any) {
	busy := request.Response{Status: 503, RetryAfter: 2 * time.Second, Reason: "the service is behind"}
	switch x := in.(type) {
	case api.Exchange:
		x.Reply <- busy // has room for its one answer
	case peermsg.Received:
		n.mesh.Send(peermsg.Outgoing{To: x.From, Msg: peermsg.Message{Kind: peermsg.Response, Ref: x.Msg.Ref, Response: &busy}})
	}
}

// register gives a request its number.
func (n *node) register(c api.Exchange) any {
	n.lastRef++
	n.replies[n.lastRef] = c.Reply
	n.refs[c.Reply] = n.lastRef
	switch in := c.Input.(type) {
	case request.Request:
		in.Ref = n.lastRef
		return in
	case heartbeat.Received:
		in.Ref = n.lastRef
		return in
	}
	return core.Tick{}
}

func (n *node) forget(ref uint64) {
	if ch := n.replies[ref]; ch != nil {
		delete(n.refs, ch)
		delete(n.replies, ref)
	}
}

func (n *node) answer(ref uint64, a any) {
	if ch := n.replies[ref]; ch != nil {
		n.forget(ref)
		ch <- a // has room for its one answer
	}
}

func (n *node) perform(o any) {
	switch o := o.(type) {
	case request.Response:
		n.answer(o.Ref, o)
	case heartbeat.Reply:
		n.answer(o.Ref, o)
	case kv.Request:
		n.store.Do(o)
	case provider.Request:
		n.cloud.Do(o)
	case heartbeat.Probe:
		n.prober.Do(o)
	case peermsg.Outgoing:
		n.mesh.Send(o)
	case engine.LogEntry:
		slog.Log(context.Background(), o.Level, o.Text, o.Attrs...)
	}
}
