// Package kvclient implements the protocol of the key-value store, which its documentation calls
// the state service. The names of the protocol are used only in this package.
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
	// maxResponseBytes bounds a response. A page of a list has at most 512 KiB of entries.
	maxResponseBytes = 2 << 20
)

// Client sends requests to the key-value store, each in its own goroutine, and delivers the
// responses to the inbox. The caller limits the number of concurrent requests.
type Client struct {
	http  *httpjson.Client
	inbox chan<- any
}

// New returns a client of the store at address that delivers each kv.Response to inbox.
func New(address string, inbox chan<- any) *Client {
	return &Client{httpjson.NewClient(address, dialTimeout, maxIdleConnections, maxResponseBytes), inbox}
}

// Do sends a request without blocking. Its response has the same Ref, and the outcome rpc.Unknown
// if no valid response arrives before the timeout.
func (c *Client) Do(req kv.Request) {
	go func() {
		response := c.call(req)
		response.Ref = req.Ref
		c.inbox <- response
	}()
}

func (c *Client) call(req kv.Request) kv.Response {
	method, path, body := EncodeRequest(req)
	status, data, ok := c.http.Call(method, path, body, req.Timeout)
	if !ok {
		return kv.Response{Outcome: rpc.Unknown}
	}
	return DecodeResponse(req, status, data)
}
