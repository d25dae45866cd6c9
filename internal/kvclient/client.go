// Package kvclient speaks the protocol of the key-value store, which the protocol's pages
// call the state service. Names of the protocol stand in this package alone.
package kvclient

import (
	"time"

	"yewpass/internal/httpjson"
	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

const (
	dialTimeout        = time.Second
	maxIdleConnections = 8
	// maxResponseBytes bounds what is read of a response; a list has at most 512 KiB of
	// items.
	maxResponseBytes = 2 << 20
)

// Client is the actor that calls the store: each call runs in its own goroutine and its
// response goes to the inbox. The caller bounds how many are on their way.
type Client struct {
	caller *httpjson.Caller
	inbox  chan<- any
}

// New returns a client of the store at an address that delivers to inbox.
func New(address string, inbox chan<- any) *Client {
	return &Client{httpjson.NewCaller(address, dialTimeout, maxIdleConnections, maxResponseBytes), inbox}
}

// Do makes the call and delivers its response.
func (c *Client) Do(call kv.Request) {
	go func() {
		response := c.call(call)
		response.Ref = call.Ref
		c.inbox <- response
	}()
}

func (c *Client) call(call kv.Request) kv.Response {
	method, path, body := Request(call)
	status, data, ok := c.caller.Call(method, path, body, call.Timeout)
	if !ok {
		return kv.Response{Outcome: rpc.Unknown}
	}
	return Decode(call, status, data)
}
