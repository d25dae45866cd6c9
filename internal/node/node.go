// Package node runs a controller: it connects the core to the network listeners, clients, timers
// and signals.
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

// limitRuntime configures the Go runtime for the memory limit of the settings.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemMB * 0.65 * (1 << 20)))
	debug.SetGCPercent(400)
}

// Run runs a controller until it receives a stop signal, and then returns nil, or until the client
// listener fails.
func Run(cfg *config.Config, ops *operators.File) error {
	limitRuntime(cfg)
	clientListener, err := net.Listen("tcp", cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("listen on client_listen: %w", err)
	}
	peerListener, err := net.Listen("tcp", cfg.PeerBind)
	if err != nil {
		return fmt.Errorf("listen on peer_bind: %w", err)
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return err
	}
	inbox, kvInbox := make(chan any, 1024), make(chan any, 256)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	n := &node{
		core:      core.New(cfg, ops.Policy, ops.Calendars, binary.LittleEndian.Uint64(seed[:])),
		store:     kvclient.New(cfg.External.State, kvInbox),
		cloud:     cloud.New(cfg.External.Cloud, inbox),
		prober:    api.NewProber(inbox),
		mesh:      peer.New(cfg.HostName, cfg.Seeds, peerListener, inbox),
		replies:   map[uint64]chan<- any{},
		refs:      map[chan<- any]uint64{},
		gauges:    newGauges(),
		startedAt: time.Now(),
	}
	n.core.SetRegions(ops.Regions)
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- api.Serve(clientListener, relay.MaxClientConnections(maxSockets(cfg)), inbox, n.isReady)
	}()
	slog.Info("node started", "node", cfg.HostName, "zone", cfg.Site)
	return n.loop(kvInbox, inbox, serveErr, signals)
}

// node connects the core to its I/O. Only the goroutine of loop modifies its fields; isReady reads
// the atomic ones in other goroutines.
type node struct {
	core           *core.Core
	store          *kvclient.Client
	cloud          *cloud.Client
	prober         *api.Prober
	mesh           *peer.Mesh
	lastRef        uint64
	replies        map[uint64]chan<- any // by request reference
	refs           map[chan<- any]uint64 // inverse of replies
	ready          atomic.Bool
	lastStepOffset atomic.Int64 // time of the last core step, as an offset from startedAt
	startedAt      time.Time
	gauges         *gauges
	gaugesSetAt    time.Time
	userQueue      userQueue
}

// loop feeds inputs to the core until the client listener fails or a signal stops the node.
// Responses of the key-value store take precedence, so that on an overloaded node the leader lease
// does not expire while the response to its renewal is queued.
func (n *node) loop(kvInbox, inbox <-chan any, serveErr <-chan error, signals <-chan os.Signal) error {
	timer := time.NewTimer(0)
	var shutdown <-chan time.Time
	for {
		var in any
		select {
		case in = <-kvInbox:
		default:
			in = n.userQueue.next(len(inbox) == 0)
		}
		if in == nil {
			select {
			case in = <-kvInbox:
			case in = <-inbox:
			case <-timer.C:
				in = core.Tick{}
			case err := <-serveErr:
				return err
			case s := <-signals:
				// Pending responses have shutdownGrace to be sent; a second signal stops
				// the node at once.
				if shutdown != nil {
					return nil
				}
				slog.Info("node stopping", "signal", s.String())
				shutdown, in = time.After(shutdownGrace), core.Shutdown{}
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

// queueRequest queues a user request, or rejects it with status 503 when the queue is full.
func (n *node) queueRequest(in any) {
	if !n.userQueue.add(in) {
		n.rejectOverload(in)
	}
}

// step passes an input to the core and performs the outputs that the core returns.
func (n *node) step(in any) {
	switch x := in.(type) {
	case api.Exchange:
		in = n.register(x)
	case api.Abandoned:
		ref := n.refs[x.Reply]
		n.unregister(ref)
		in = heartbeat.Abandoned{Ref: ref}
	}
	now := time.Now()
	for _, output := range n.core.Step(now, in) {
		n.perform(output)
	}
	n.ready.Store(n.core.Ready())
	n.lastStepOffset.Store(int64(now.Sub(n.startedAt)))
	if now.Sub(n.gaugesSetAt) >= gaugesInterval {
		n.gaugesSetAt = now
		stats := n.core.Stats()
		n.gauges.stats.Store(&stats)
	}
}

// gaugesInterval is the minimum time between updates of the metrics.
const gaugesInterval = time.Second

// shutdownGrace is the time after a stop signal in which the node gives up its leadership and
// answers pending requests.
const shutdownGrace = 400 * time.Millisecond

// stallThreshold is the time without a core step after which the node is no longer ready. The core
// takes an input at least once a second.
const stallThreshold = 4 * time.Second

// isReady reports whether the load balancer should send requests to this node. It is safe to call
// outside the core loop, and false if the loop has stalled.
func (n *node) isReady() bool {
	return n.ready.Load() && time.Since(n.startedAt)-time.Duration(n.lastStepOffset.Load()) < stallThreshold
}

// maxSockets returns the maximum number of open sockets: the lower of max_connections and the
// process's limit of open files.
func maxSockets(cfg *config.Config) int {
	limit := cfg.Settings.Limits.MaxConnections
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) != nil || files.Cur >= uint64(limit) {
		return limit
	}
	slog.Warn("open file limit is lower than max_connections", "max_connections", limit, "files", files.Cur)
	return int(files.Cur)
}

// rejectOverload answers a user request with status 503 and a retry delay.
func (n *node) rejectOverload(in any) {
	busy := request.Response{Status: 503, RetryAfter: 2 * time.Second, Reason: "the service is behind"}
	switch x := in.(type) {
	case api.Exchange:
		x.Reply <- busy // buffered for exactly one response
	case peermsg.Received:
		n.mesh.Send(peermsg.Outgoing{To: x.From, Msg: peermsg.Message{Kind: peermsg.Response, Ref: x.Msg.Ref, Response: &busy}})
	}
}

// register assigns a request the reference number by which answer finds its reply channel.
func (n *node) register(x api.Exchange) any {
	n.lastRef++
	n.replies[n.lastRef] = x.Reply
	n.refs[x.Reply] = n.lastRef
	switch in := x.Input.(type) {
	case request.Request:
		in.Ref = n.lastRef
		return in
	case heartbeat.Received:
		in.Ref = n.lastRef
		return in
	}
	return core.Tick{}
}

func (n *node) unregister(ref uint64) {
	if ch := n.replies[ref]; ch != nil {
		delete(n.refs, ch)
		delete(n.replies, ref)
	}
}

func (n *node) respond(ref uint64, response any) {
	if ch := n.replies[ref]; ch != nil {
		n.unregister(ref)
		ch <- response // buffered for exactly one response
	}
}

// perform carries out one output of the core. None of its cases blocks.
func (n *node) perform(o any) {
	switch o := o.(type) {
	case request.Response:
		n.respond(o.Ref, o)
	case heartbeat.Reply:
		n.respond(o.Ref, o)
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
