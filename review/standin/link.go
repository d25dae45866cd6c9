package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy between two controllers, in one direction. It can refuse connections.
type link struct {
	address, target string
	mu              sync.Mutex
	ln              net.Listener // nil while connections are refused
	conns           map[net.Conn]bool
}

func newLink(target string) *link {
	l := &link{address: freeAddresses(1)[0], target: target, conns: map[net.Conn]bool{}}
	l.accept()
	return l
}

// accept lets connections through again.
func (l *link) accept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return
	}
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		fail("%v", err)
	}
	l.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(ln, c)
		}
	}()
}

// refuse closes the connections and refuses new ones.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil {
		return
	}
	l.ln.Close()
	l.ln = nil
	for c := range l.conns {
		c.Close()
	}
}

func (l *link) pass(ln net.Listener, c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer d.Close()
	l.mu.Lock()
	if l.ln != ln {
		l.mu.Unlock()
		return
	}
	l.conns[c], l.conns[d] = true, true
	l.mu.Unlock()
	over := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, d}, {d, c}} {
		go func() {
			io.Copy(pair[0], pair[1])
			over <- struct{}{}
		}()
	}
	<-over
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, d)
	l.mu.Unlock()
}
