// Package cloud implements the protocol of the cloud API, whose names, such as flavor for an
// instance type and reclaimable for a spot instance, are used only in this package.
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

// Client sends requests to the cloud API, each in its own goroutine, and delivers the responses to
// the inbox.
type Client struct {
	http  *httpjson.Client
	inbox chan<- any
}

// New returns a client of the cloud API at address that delivers each provider.Response to inbox.
func New(address string, inbox chan<- any) *Client {
	return &Client{httpjson.NewClient(address, dialTimeout, maxIdleConnections, maxResponseBytes), inbox}
}

// Do sends a request without blocking. Its response has the same Ref, and the outcome rpc.Unknown
// if no valid response arrives before the timeout.
func (c *Client) Do(req provider.Request) {
	go func() {
		response := c.call(req)
		response.Ref = req.Ref
		c.inbox <- response
	}()
}

func (c *Client) call(req provider.Request) provider.Response {
	method, path, body := EncodeRequest(req)
	status, data, ok := c.http.Call(method, path, body, req.Timeout)
	if !ok {
		return provider.Response{Outcome: rpc.Unknown}
	}
	return DecodeResponse(req, status, data)
}
