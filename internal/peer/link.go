package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/peermsg"
)

const (
	maxLineBytes = 512 << 10 // fits a full batch of heartbeats with names of maximum length
	pingInterval = 500 * time.Millisecond
	linkTimeout  = 2500 * time.Millisecond // for reads and writes; several ping intervals
	dialTimeout  = time.Second
	redialDelay  = 300 * time.Millisecond
)

// maintainLink dials a peer, sends the queued messages, and reconnects when the connection fails.
// It never returns.
func (m *Mesh) maintainLink(peer config.Seed, queue chan messageJSON) {
	for {
		conn, err := net.DialTimeout("tcp", peer.Endpoint, dialTimeout)
		if err == nil {
			m.send(peer.HostName, conn, queue)
			conn.Close()
		}
		time.Sleep(redialDelay)
	}
}

// send writes queued messages and pings until the connection fails. The peer answers each ping with
// an empty line, by which awaitDisconnect detects a dead connection.
func (m *Mesh) send(name string, conn net.Conn, queue chan messageJSON) {
	drainQueue(queue)
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		awaitDisconnect(conn)
	}()
	writer := bufio.NewWriter(conn)
	encoder := json.NewEncoder(writer)
	up := false
	defer func() {
		if up {
			m.inbox <- peermsg.LinkChange{Name: name}
		}
	}()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	ping := messageJSON{From: m.self, Kind: kindPing}
	message := ping
	for {
		conn.SetWriteDeadline(time.Now().Add(linkTimeout))
		if encoder.Encode(message) != nil {
			return
		}
		if len(queue) == 0 && writer.Flush() != nil {
			return
		}
		if !up {
			up = true
			m.inbox <- peermsg.LinkChange{Name: name, Up: true}
		}
		select {
		case message = <-queue:
		case <-ticker.C:
			message = ping
		case <-broken:
			return
		}
	}
}

// drainQueue drops the messages that were queued while the link was down, since they are stale.
func drainQueue(queue chan messageJSON) {
	for len(queue) > 0 {
		<-queue
	}
}

// awaitDisconnect returns once the peer has closed the connection or sent nothing for linkTimeout.
func awaitDisconnect(conn net.Conn) {
	buffer := make([]byte, 64)
	for {
		conn.SetReadDeadline(time.Now().Add(linkTimeout))
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// receive delivers messages until the connection ends or a message is malformed.
func (m *Mesh) receive(conn net.Conn, knownPeers map[string]bool) {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for {
		conn.SetReadDeadline(time.Now().Add(linkTimeout))
		if !scanner.Scan() {
			if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
				warnMalformed(conn, err)
			}
			return
		}
		message, err := decodeMessage(scanner.Bytes(), knownPeers)
		switch {
		case errors.Is(err, errPing):
			conn.SetWriteDeadline(time.Now().Add(linkTimeout))
			if _, err := io.WriteString(conn, "\n"); err != nil {
				return
			}
		case err != nil:
			warnMalformed(conn, err)
			return
		default:
			m.inbox <- message
		}
	}
}

func warnMalformed(conn net.Conn, err error) {
	slog.Warn("malformed message from peer; closing the connection", "remote", conn.RemoteAddr().String(), "reason", err)
}
