// Package cloud speaks the protocol of the cloud API. Names of the protocol, such as flavor
// for an instance type and reclaimable for a spot instance, stand in this package alone.
package cloud

import (
	"time"

	"yewpass/internal/httpjson"
	"yewpass/internal/provider"
	"yewpass/internal/rpc"
)

const (
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 4
	maxResponseBytes   = 1 << 20
)

// Client is the actor that calls the cloud; its responses go to the inbox.
type Client struct {
	caller *httpjson.Caller
	inbox  chan<- any
}

// New returns a client of the cloud at an address that delivers to inbox.
func New(address string, inbox chan<- any) *Client {
	return &Client{httpjson.NewCaller(address, dialTimeout, maxIdleConnections, maxResponseBytes), inbox}
}

// Do makes the call and delivers its response.
func (c *Client) Do(call provider.Request) {
	go func() {
		response := c.call(call)
		response.Ref = call.Ref
		c.inbox <- response
	}()
}

func (c *Client) call(call provider.Request) provider.Response {
	method, path, body := Request(call)
	status, data, ok := c.caller.Call(method, path, body, call.Timeout)
	if !ok {
		return provider.Response{Outcome: rpc.Unknown}
	}
	return Decode(call, status, data)
}
