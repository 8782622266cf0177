// Package protocol has the implementations of load.Protocol other than plain HTTP/1.1: the plug-in
// in the generator's own process, and RADIUS as counter terminals use it.
package protocol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"chalkrack/client"
	"chalkrack/internal/load"
)

// Plugin sends calls through the plug-in, which chooses servers itself or sends to a daemon. All
// its Conns share one Transport, as the calls of an application do.
type Plugin struct {
	transport *client.Transport
}

// NewPlugin returns a Plugin, which the caller closes. cfg says where the servers and the daemon
// are. Without cfg.Platform the plug-in gets the classes of the load.
func NewPlugin(cfg client.Config, classes []load.Class) (*Plugin, error) {
	if len(cfg.Platform) == 0 {
		effects := map[load.Effect]client.Effect{load.Safe: client.Safe, load.Keyed: client.Keyed, load.Once: client.Unsafe}
		for _, loadClass := range classes {
			class := client.Class{Name: loadClass.Name, Effect: effects[loadClass.Effect], Aim: time.Duration(loadClass.Aim), Deadline: time.Duration(loadClass.Deadline), Worth: loadClass.Worth}
			if loadClass.Effect == load.Keyed {
				class.Window = time.Duration(loadClass.Aim) // the window that servers guarantee is not known here
			}
			cfg.Classes = append(cfg.Classes, class)
		}
	}
	transport, err := client.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Plugin{transport}, nil
}

// closeTimeout bounds the wait for calls that are still in progress at the end.
const closeTimeout = 5 * time.Second

// Close closes the Transport. It waits up to closeTimeout for calls in progress.
func (p *Plugin) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.transport.Close(ctx)
}

// Dial implements load.Protocol.
func (p *Plugin) Dial(time.Time) (load.Conn, error) { return pluginConn{p.transport}, nil }

// pluginConn sends calls over the shared Transport.
type pluginConn struct{ transport *client.Transport }

// Do implements load.Conn.
func (c pluginConn) Do(call *load.Call) (load.Reply, error) {
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	path := call.Path
	if path == "" {
		path = "/" + call.Class.Name
	}
	method, body := http.MethodGet, io.Reader(nil)
	if call.Class.Effect != load.Safe {
		method, body = http.MethodPost, io.LimitReader(digitReader{}, int64(call.BodyBytes))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://app"+path, body)
	if err != nil {
		return load.Reply{}, fmt.Errorf("load: %w", err)
	}
	if body != nil {
		request.ContentLength = int64(call.BodyBytes)
	}
	request.Header.Set("Req-Id", call.ID)
	request.Header.Set("Req-Kind", call.Class.Name)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	if call.Retry {
		request.Header.Set("Req-Retry", "1")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if errors.Is(err, client.ErrBodyTooLarge) { // the plug-in rejects the body before it sends any of it
			return load.Reply{Status: http.StatusRequestEntityTooLarge}, nil
		}
		return load.Reply{}, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if err != nil {
		return load.Reply{}, fmt.Errorf("load: %w", err)
	}
	reply := load.Reply{Status: response.StatusCode}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s >= 0 && s < 3600 {
		reply.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return reply, nil
}

// Close implements load.Conn. It does nothing, since the Transport owns the connections.
func (c pluginConn) Close() {}

// digitReader is an endless body of hex digits.
type digitReader struct{}

// Read implements io.Reader.
func (digitReader) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = "0123456789abcdef"[n&15]
	}
	return len(p), nil
}
