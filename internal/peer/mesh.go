// Package peer exchanges messages between controllers as JSON lines over TCP. Each node sends on
// the connections that it dialed and receives on those that it accepted.
package peer

import (
	"net"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/peermsg"
)

const (
	// queueLength bounds the messages queued per peer; further ones are dropped.
	queueLength = 1024
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// Mesh holds the connections to the other controllers. It is safe for concurrent use.
type Mesh struct {
	self   string
	inbox  chan<- any
	queues map[string]chan messageJSON // by host name of the peer
}

// New connects to the peers and accepts their connections on listener. It delivers messages as
// peermsg.Received and connection changes as peermsg.LinkChange to inbox.
func New(self string, peers []config.Seed, listener net.Listener, inbox chan<- any) *Mesh {
	m := &Mesh{self: self, inbox: inbox, queues: map[string]chan messageJSON{}}
	known := map[string]bool{}
	for _, peer := range peers {
		known[peer.HostName] = true
		queue := make(chan messageJSON, queueLength)
		m.queues[peer.HostName] = queue
		go m.maintainLink(peer, queue)
	}
	go m.accept(listener, known)
	return m
}

// Send queues a message without blocking. The message is lost if the peer is unknown, its link is
// down or its queue is full.
func (m *Mesh) Send(out peermsg.Outgoing) {
	queue := m.queues[out.To]
	if queue == nil {
		return
	}
	select {
	case queue <- encodeMessage(m.self, &out.Msg):
	default:
	}
}

// accept serves each incoming connection in its own goroutine. It closes connections beyond a limit
// that allows several per peer, since reconnects overlap.
func (m *Mesh) accept(listener net.Listener, known map[string]bool) {
	slots := make(chan struct{}, 4*len(known)+4)
	for {
		conn, err := listener.Accept()
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				m.receive(conn, known)
				conn.Close()
				<-slots
			}()
		default:
			conn.Close()
		}
	}
}
