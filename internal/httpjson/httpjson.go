// Package httpjson sends JSON requests to an external service over HTTP.
package httpjson

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	base        string
	http        *http.Client
	maxResponse int64 // bytes of a response body
}

// NewClient returns a client of the service at addr. If addr is empty, the paths passed to Call
// must begin with an address. A negative maxIdle means no idle connections. A response body of more
// than maxResponse bytes is a failure.
func NewClient(addr string, dialTimeout time.Duration, maxIdle int, maxResponse int64) *Client {
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		maxResponse: maxResponse,
	}
}

// Call sends a request and returns the status and body of the response. It returns false if no
// complete response arrived within the timeout; the service may still have processed the request.
func (c *Client) Call(method, path string, body []byte, timeout time.Duration) (int, []byte, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponse+1))
	if err != nil || int64(len(data)) > c.maxResponse {
		return 0, nil, false
	}
	return resp.StatusCode, data, true
}
