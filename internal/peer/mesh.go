// Package peer carries messages between controllers: JSON lines over TCP. Each node dials
// every other one and sends on the connection that it dialled; it receives on those that
// the others dialled.
package peer

import (
	"net"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/peermsg"
)

const (
	// queueLength is how many messages wait for a link; more are lost.
	queueLength = 1024
	// acceptRetryDelay follows a failure to accept a connection.
	acceptRetryDelay = 50 * time.Millisecond
)

// Mesh is the actor that holds the links to the other controllers.
type Mesh struct {
	self   string
	inbox  chan<- any
	queues map[string]chan messageJSON // by peer
}

// New starts links to the peers and accepts theirs on a listener. Messages and changes of
// links are delivered to inbox.
func New(self string, peers []config.Seed, listener net.Listener, inbox chan<- any) *Mesh {
	m := &Mesh{self: self, inbox: inbox, queues: map[string]chan messageJSON{}}
	known := map[string]bool{}
	for _, peer := range peers {
		known[peer.HostName] = true
		queue := make(chan messageJSON, queueLength)
		m.queues[peer.HostName] = queue
		go m.dial(peer, queue)
	}
	go m.accept(listener, known)
	return m
}

// Send queues a message. It is lost when the link is down or the queue is full.
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

// accept takes connections of the known peers, each in a goroutine of its own.
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
