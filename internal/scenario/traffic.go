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

// workerLink is a worker's own connection to the controller that it reports to.
type workerLink struct {
	client    *http.Client
	transport *http.Transport
	node      string
	reports   atomic.Int64
	bytes     atomic.Int64 // both ways, with HTTP's headers
}

// countedConn counts the bytes of a connection, both ways.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts what came.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts what went.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// newWorkerLink returns a link that dials when it is used.
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
			return countedConn{conn, &link.bytes}, nil
		},
	}
	link.client = &http.Client{Timeout: 4 * time.Second, Transport: link.transport}
	return link
}

// link returns the client on which a worker reports to a node. Its connection to another
// node is closed.
func (l *loopback) link(host, node string) *http.Client {
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

// tally is a number of messages and their bytes.
type tally struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// traffic counts messages by kind and by the node that takes part.
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

// relayTo returns the address of a relay to another controller's peer port, which counts
// what passes and lets nothing through while the two are behind a cut.
func (p *process) relayTo(o *process) string {
	ln, err := p.listen()
	if err != nil {
		p.complain("%v", err)
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
	if !p.awaitOpen(o) {
		return
	}
	out, err := net.DialTimeout("tcp", o.peers, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		p.pass(o, out, in, func([]byte) {})
		in.Close()
	}()
	var lines lineCounter
	p.pass(o, in, out, func(b []byte) {
		lines.take(b, func(kind string, size int) { p.traffic.count("peer "+kind, p.n.name, size) })
	})
}

// pass copies from one connection to the other until one of them ends.
func (p *process) pass(o *process, from, to net.Conn, seen func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			seen(buf[:n])
			if !p.awaitOpen(o) {
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

// awaitOpen waits until no cut parts the two controllers; false once all is over.
func (p *process) awaitOpen(o *process) bool {
	for {
		open := false
		p.with(func() { open = p.net.reachable(p.n.name, o.n.name) })
		if open {
			return true
		}
		select {
		case <-p.over:
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// lineCounter tells the kind and the size of JSON lines that come in pieces.
type lineCounter struct {
	head []byte // the beginning of the line
	size int
}

// lineHead is so much of a line as surely has its kind.
const lineHead = 120

func (c *lineCounter) take(b []byte, tell func(kind string, size int)) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end+1]
		}
		if room := lineHead - len(c.head); room > 0 {
			c.head = append(c.head, part[:min(room, len(part))]...)
		}
		c.size += len(part)
		b = b[len(part):]
		if end >= 0 {
			tell(kindOf(c.head), c.size)
			c.head, c.size = c.head[:0], 0
		}
	}
}

func kindOf(head []byte) string {
	_, rest, ok := bytes.Cut(head, []byte(`"kind":"`))
	kind, _, end := bytes.Cut(rest, []byte(`"`))
	if !ok || !end {
		return "other"
	}
	return string(kind)
}
