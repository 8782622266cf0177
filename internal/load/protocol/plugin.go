// Package protocol has the ways of load's calls that need more than HTTP/1.1: the
// plug-in in the generator's own process, and RADIUS as counter terminals speak it.
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

// Plugin sends calls through the plug-in, which chooses servers itself or goes by way of
// a daemon. All its Conns share one Transport, as an application's calls do.
type Plugin struct {
	t *client.Transport
}

// NewPlugin returns a Plugin. cfg says where its servers and its daemon are; without
// Platform its classes are those of the load.
func NewPlugin(cfg client.Config, classes []load.Class) (*Plugin, error) {
	if len(cfg.Platform) == 0 {
		effects := map[load.Effect]client.Effect{load.Safe: client.Safe, load.Keyed: client.Keyed, load.Once: client.Unsafe}
		for _, c := range classes {
			k := client.Class{Name: c.Name, Effect: effects[c.Effect], Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), Worth: c.Worth}
			if c.Effect == load.Keyed {
				k.Window = time.Duration(c.Aim) // servers' promise is not known here
			}
			cfg.Classes = append(cfg.Classes, k)
		}
	}
	t, err := client.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Plugin{t}, nil
}

// closeWait is how long calls that are still under way at the end are waited for.
const closeWait = 5 * time.Second

// Close ends the Transport.
func (p *Plugin) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	p.t.Close(ctx)
}

// Dial implements load.Protocol.
func (p *Plugin) Dial(time.Time) (load.Conn, error) { return pluginConn{p.t}, nil }

type pluginConn struct{ t *client.Transport }

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
		method, body = http.MethodPost, io.LimitReader(digits{}, int64(call.Body))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://app"+path, body)
	if err != nil {
		return load.Reply{}, fmt.Errorf("load: %w", err)
	}
	if body != nil {
		r.ContentLength = int64(call.Body)
	}
	r.Header.Set("Req-Id", call.ID)
	r.Header.Set("Req-Kind", call.Class.Name)
	if call.Key != "" {
		r.Header.Set("Idempotency-Key", call.Key)
	}
	if call.Retry {
		r.Header.Set("Req-Retry", "1")
	}
	resp, err := c.t.RoundTrip(r)
	if err != nil {
		if errors.Is(err, client.ErrBodyTooLarge) { // it answers so, without having sent any of it
			return load.Reply{Status: http.StatusRequestEntityTooLarge}, nil
		}
		return load.Reply{}, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		return load.Reply{}, fmt.Errorf("load: %w", err)
	}
	reply := load.Reply{Status: resp.StatusCode}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s >= 0 && s < 3600 {
		reply.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return reply, nil
}

// Close implements load.Conn: the Transport's connections are its own.
func (c pluginConn) Close() {}

// digits is a body without end.
type digits struct{}

// Read implements io.Reader.
func (digits) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = "0123456789abcdef"[n&15]
	}
	return len(p), nil
}
