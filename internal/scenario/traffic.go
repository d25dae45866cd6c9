package scenario

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// workerLink is a worker's connection to the controller that receives its heartbeats.
type workerLink struct {
	client    *http.Client
	transport *http.Transport
	node      string
	reports   atomic.Int64
	bytes     atomic.Int64 // both directions, with HTTP headers
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// newWorkerLink returns a link that connects on first use.
func newWorkerLink() *workerLink {
	link := &workerLink{}
	var dialer net.Dialer
	link.transport = &http.Transport{
		MaxConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: time.Minute,
		ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &link.bytes}, nil
		},
	}
	link.client = &http.Client{Timeout: 4 * time.Second, Transport: link.transport}
	return link
}

// workerClient returns the client for a worker's heartbeats to a node. It closes the connection to
// a previous node.
func (l *loopback) workerClient(host, node string) *http.Client {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	link := l.links[host]
	if link == nil {
		link = newWorkerLink()
		l.links[host] = link
	}
	if link.node != node {
		link.transport.CloseIdleConnections()
		link.node = node
	}
	link.reports.Add(1)
	return link.client
}

// tally is a number of messages or records and their total size.
type tally struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// traffic counts messages by kind and by node.
type traffic struct {
	mu    sync.Mutex
	kinds map[string]*tally
	nodes map[string]*tally
}

func (t *traffic) count(kind, node string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds, t.nodes = map[string]*tally{}, map[string]*tally{}
	}
	for m, k := range map[*map[string]*tally]string{&t.kinds: kind, &t.nodes: node} {
		x := (*m)[k]
		if x == nil {
			x = &tally{}
			(*m)[k] = x
		}
		x.Messages++
		x.Bytes += int64(size)
	}
}

// byKind returns a copy of the counts by kind.
func (t *traffic) byKind() map[string]tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]tally{}
	for k, x := range t.kinds {
		out[k] = *x
	}
	return out
}

// relayTo starts a relay to another controller's peer port and returns its address. The relay
// counts messages and stops forwarding while the two controllers are partitioned.
func (p *process) relayTo(o *process) string {
	ln, err := p.listen()
	if err != nil {
		p.errorf("%v", err)
		return ""
	}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go p.relayConn(o, in)
		}
	}()
	return ln.Addr().String()
}

func (p *process) relayConn(o *process, in net.Conn) {
	defer in.Close()
	if !p.waitReachable(o) {
		return
	}
	out, err := net.DialTimeout("tcp", o.peerAddr, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		p.copyWhileReachable(o, out, in, func([]byte) {})
		in.Close()
	}()
	var lines lineCounter
	p.copyWhileReachable(o, in, out, func(b []byte) {
		lines.add(b, func(kind string, size int) { p.traffic.count("peer "+kind, p.node.name, size) })
	})
}

// copyWhileReachable copies between connections until one is closed. It pauses while the two
// controllers are partitioned.
func (p *process) copyWhileReachable(o *process, from, to net.Conn, seen func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			seen(buf[:n])
			if !p.waitReachable(o) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitReachable waits while the two controllers are partitioned. It returns false if the loopback
// is closed first.
func (p *process) waitReachable(o *process) bool {
	for {
		open := false
		p.with(func() { open = p.net.reachable(p.node.name, o.node.name) })
		if open {
			return true
		}
		select {
		case <-p.closed:
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// lineCounter determines the kind and size of JSON lines that arrive in pieces.
type lineCounter struct {
	head []byte // prefix of the current line
	size int
}

// kindPrefixBytes is the length of the line prefix that contains the message kind.
const kindPrefixBytes = 120

func (c *lineCounter) add(b []byte, emit func(kind string, size int)) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end+1]
		}
		if room := kindPrefixBytes - len(c.head); room > 0 {
			c.head = append(c.head, part[:min(room, len(part))]...)
		}
		c.size += len(part)
		b = b[len(part):]
		if end >= 0 {
			emit(messageKind(c.head), c.size)
			c.head, c.size = c.head[:0], 0
		}
	}
}

func messageKind(head []byte) string {
	_, rest, ok := bytes.Cut(head, []byte(`"kind":"`))
	kind, _, end := bytes.Cut(rest, []byte(`"`))
	if !ok || !end {
		return "other"
	}
	return string(kind)
}
