// Package httpjson makes JSON calls to an outside service over HTTP.
package httpjson

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Caller calls one service.
type Caller struct {
	base        string
	http        *http.Client
	maxResponse int64 // bytes read of an answer
}

// NewCaller returns a caller of the service at addr (empty: paths begin with an
// address) that keeps at most idle connections (below 0: none) and reads at most
// most bytes of an answer.
func NewCaller(addr string, dial time.Duration, idle int, most int64) *Caller {
	return &Caller{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
			MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		maxResponse: most,
	}
}

// Call makes a request and returns the answer's status and body; false if there
// was none that is whole.
func (c *Caller) Call(method, path string, body []byte, within time.Duration) (int, []byte, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
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
