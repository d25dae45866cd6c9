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
	maxLine     = 512 << 10 // of heartbeats, with names as long as may be
	pingEvery   = 500 * time.Millisecond
	deadAfter   = 2500 * time.Millisecond // without a sign of life
	dialTimeout = time.Second
	redialDelay = 300 * time.Millisecond
)

// dial keeps a link to one peer.
func (m *Mesh) dial(peer config.Seed, queue chan messageJSON) {
	for {
		conn, err := net.DialTimeout("tcp", peer.Endpoint, dialTimeout)
		if err == nil {
			m.send(peer.HostName, conn, queue)
			conn.Close()
		}
		time.Sleep(redialDelay)
	}
}

// send writes what is queued until the link breaks. The other end answers pings, which
// shows that it is there.
func (m *Mesh) send(name string, conn net.Conn, queue chan messageJSON) {
	discard(queue)
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		awaitSilence(conn)
	}()
	writer := bufio.NewWriter(conn)
	encoder := json.NewEncoder(writer)
	up := false
	defer func() {
		if up {
			m.inbox <- peermsg.LinkChange{Name: name}
		}
	}()
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	ping := messageJSON{From: m.self, Kind: kindPing}
	message := ping
	for {
		conn.SetWriteDeadline(time.Now().Add(deadAfter))
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

// discard empties a queue of what was meant for a link that has broken.
func discard(queue chan messageJSON) {
	for len(queue) > 0 {
		<-queue
	}
}

// awaitSilence returns when the other end has closed the connection or been silent for long.
func awaitSilence(conn net.Conn) {
	buffer := make([]byte, 64)
	for {
		conn.SetReadDeadline(time.Now().Add(deadAfter))
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// receive delivers messages until the connection ends. Anything that is no message ends it.
func (m *Mesh) receive(conn net.Conn, known map[string]bool) {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLine)
	for {
		conn.SetReadDeadline(time.Now().Add(deadAfter))
		if !scanner.Scan() {
			if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
				warnMalformed(conn, err)
			}
			return
		}
		message, err := decodeMessage(scanner.Bytes(), known)
		switch {
		case errors.Is(err, errPing):
			conn.SetWriteDeadline(time.Now().Add(deadAfter))
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
	slog.Warn("malformed message on the peer port, connection closed", "remote", conn.RemoteAddr().String(), "reason", err)
}
