// Package connect brings the sidecar's decisions to users of Connect
// (connectrpc.com/connect). Its interceptor says of each call which class it belongs
// to, with which key, from the procedure and its protobuf idempotency_level; its HTTP
// client makes the call through client.Transport.
//
//	d, err := connect.New(transport, connect.Options{Safe: "status-check", Keyed: "id-register", Unsafe: "activate"})
//	c := simv1connect.NewSimServiceClient(d.HTTPClient(), "http://sim.svc", connectrpc.WithInterceptors(d.Interceptor()))
//
// The level says what a procedure allows, as the protobuf descriptor has it: one
// without side effects is safe, an idempotent one keyed if the call carries a key and
// unsafe if not, and one of unknown level must not run twice. Options.Procedures
// overrides that, a procedure at a time.
//
// Unary calls and server streams are served. Streams from the client can't be kept for
// another attempt and are refused as unimplemented.
package connect

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	connectrpc "connectrpc.com/connect"

	"chalkrack/client"
)

// KeyField is the field of a call that carries its key.
const KeyField = "Idempotency-Key"

// classField carries the class from the interceptor to Classify, within the process.
const classField = "Req-Kind"

// Options says which class a call belongs to.
type Options struct {
	// The classes of procedures by what they allow. One that is empty has no class:
	// its calls are an error.
	Safe, Keyed, Unsafe string
	// Procedures names the class of a procedure ("/sim.v1.Sim/Activate"), whatever its
	// level says.
	Procedures map[string]string
	// KeyedClasses are those of Procedures' classes whose calls need a key.
	KeyedClasses []string
}

// Director brings calls and Transport together.
type Director struct {
	rt    http.RoundTripper
	opts  Options
	keyed map[string]bool
}

// New returns a Director of a Transport, whose Config must pass client errors: Connect
// answers errors with 4xx, which another server would give too.
func New(rt http.RoundTripper, opts Options) (*Director, error) {
	if rt == nil {
		return nil, errors.New("connect: no transport")
	}
	d := &Director{rt: &worded{rt}, opts: opts, keyed: make(map[string]bool)}
	for _, class := range opts.KeyedClasses {
		d.keyed[class] = true
	}
	if opts.Keyed != "" {
		d.keyed[opts.Keyed] = true
	}
	for procedure, class := range opts.Procedures {
		if procedure == "" || procedure[0] != '/' || class == "" {
			return nil, fmt.Errorf("connect: Procedures[%q]: a procedure begins with '/', and its class has a name", procedure)
		}
	}
	return d, nil
}

// HTTPClient is what generated clients are made with.
func (d *Director) HTTPClient() connectrpc.HTTPClient { return &http.Client{Transport: d.rt} }

// classOf is the class of a call.
func (d *Director) classOf(spec connectrpc.Spec, key string) (string, error) {
	if class, ok := d.opts.Procedures[spec.Procedure]; ok {
		if d.keyed[class] && key == "" {
			return "", fmt.Errorf("class %q needs %s", class, KeyField)
		}
		return class, nil
	}
	class := d.opts.Unsafe
	switch spec.IdempotencyLevel {
	case connectrpc.IdempotencyNoSideEffects:
		class = d.opts.Safe
	case connectrpc.IdempotencyIdempotent:
		// Without a key servers can't tell a repeat, whatever the level says of it.
		if key != "" {
			class = d.opts.Keyed
		}
	}
	if class == "" {
		return "", fmt.Errorf("no class for %s of level %v", spec.Procedure, spec.IdempotencyLevel)
	}
	return class, nil
}

// Interceptor is for connect.WithInterceptors. It goes last, next to the wire.
func (d *Director) Interceptor() connectrpc.Interceptor { return &interceptor{d} }

type interceptor struct{ d *Director }

func (i *interceptor) mark(spec connectrpc.Spec, h http.Header) error {
	class, err := i.d.classOf(spec, h.Get(KeyField))
	if err != nil {
		return connectrpc.NewError(connectrpc.CodeInvalidArgument, fmt.Errorf("connect: %w", err))
	}
	h.Set(classField, class)
	return nil
}

// WrapUnary implements connect.Interceptor.
func (i *interceptor) WrapUnary(next connectrpc.UnaryFunc) connectrpc.UnaryFunc {
	return func(ctx context.Context, req connectrpc.AnyRequest) (connectrpc.AnyResponse, error) {
		if !req.Spec().IsClient {
			return next(ctx, req)
		}
		if err := i.mark(req.Spec(), req.Header()); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (i *interceptor) WrapStreamingClient(next connectrpc.StreamingClientFunc) connectrpc.StreamingClientFunc {
	return func(ctx context.Context, spec connectrpc.Spec) connectrpc.StreamingClientConn {
		conn := next(ctx, spec)
		err := i.mark(spec, conn.RequestHeader())
		if spec.StreamType&connectrpc.StreamTypeClient != 0 {
			err = connectrpc.NewError(connectrpc.CodeUnimplemented, errors.New("connect: a stream from the client can't be kept for another attempt"))
		}
		if err != nil {
			return &refusedConn{conn, err}
		}
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i *interceptor) WrapStreamingHandler(next connectrpc.StreamingHandlerFunc) connectrpc.StreamingHandlerFunc {
	return next
}

// refusedConn is a stream that is never made.
type refusedConn struct {
	connectrpc.StreamingClientConn
	err error
}

func (c *refusedConn) Send(any) error       { return c.err }
func (c *refusedConn) CloseRequest() error  { return nil }
func (c *refusedConn) Receive(any) error    { return c.err }
func (c *refusedConn) CloseResponse() error { return nil }

// worded words what no server answered: Unavailable says that trying again is harmless,
// Aborted that the call may have run. Guards against callers, and retry interceptors,
// that repeat whatever is Unavailable, as Connect takes any 502 to be.
type worded struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (w *worded) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	said := resp.Header.Get(client.VerdictField)
	if said == "" {
		return resp, nil
	}
	resp.Body.Close()
	e := connectrpc.NewError(connectrpc.CodeUnavailable, errors.New("refused: trying again is harmless"))
	if said == "failed" {
		e = connectrpc.NewError(connectrpc.CodeAborted, errors.New("the call failed and may have run"))
	}
	for _, name := range []string{client.VerdictField, "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			e.Meta().Set(name, v)
		}
	}
	return nil, e
}

// RetryAfter is when a call that was refused may be made again; false if err says
// nothing of it.
func RetryAfter(err error) (time.Duration, bool) {
	var ce *connectrpc.Error
	if !errors.As(err, &ce) || ce.Meta().Get(client.VerdictField) != "refused" {
		return 0, false
	}
	s, err := strconv.ParseFloat(ce.Meta().Get("Retry-After"), 64)
	if err != nil || s < 0 {
		return 0, false
	}
	return time.Duration(s * float64(time.Second)), true
}
