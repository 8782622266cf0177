// Package connect makes calls of Connect clients (connectrpc.com/connect) through the
// load balancer. Its interceptor derives the class of each call from the procedure, its
// protobuf idempotency_level and the call's key; its HTTP client makes the call through
// client.Transport.
//
//	d, err := connect.New(transport, connect.Options{Safe: "status-check", Keyed: "id-register", Unsafe: "activate"})
//	c := simv1connect.NewSimServiceClient(d.HTTPClient(), "http://sim.svc", connectrpc.WithInterceptors(d.Interceptor()))
//
// The idempotency_level in the protobuf descriptor determines whether a procedure may run
// again: one without side effects is safe, an idempotent one is keyed if the call carries
// a key and unsafe if not, and one of unknown level must not run twice.
// Options.Procedures overrides the level for individual procedures.
//
// Unary calls and server streams are supported. Streams from the client can't be stored
// for another attempt and are rejected as unimplemented.
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

// KeyField is the header field that carries the key of a call.
const KeyField = "Idempotency-Key"

// classField carries the class from the interceptor to Classify, within the process.
const classField = "Req-Kind"

// Options determines the class of a call.
type Options struct {
	// Safe, Keyed and Unsafe are the classes of procedures by idempotency level. If one
	// of them is empty, the calls that need it return an error.
	Safe, Keyed, Unsafe string
	// Procedures maps a procedure ("/sim.v1.Sim/Activate") to its class, regardless of
	// its level.
	Procedures map[string]string
	// KeyedClasses lists the classes in Procedures whose calls need a key.
	KeyedClasses []string
}

// Director assigns classes to calls and makes them through an http.RoundTripper.
type Director struct {
	transport    http.RoundTripper
	opts         Options
	keyedClasses map[string]bool
}

// New returns a Director that makes calls through rt, a client.Transport. PassClientErrors
// must be set in its Config: Connect returns application errors as 4xx, which another
// server would return as well. It returns an error if rt is nil or opts are invalid.
func New(rt http.RoundTripper, opts Options) (*Director, error) {
	if rt == nil {
		return nil, errors.New("connect: the transport is nil")
	}
	d := &Director{transport: &verdictTransport{rt}, opts: opts, keyedClasses: make(map[string]bool)}
	for _, class := range opts.KeyedClasses {
		d.keyedClasses[class] = true
	}
	if opts.Keyed != "" {
		d.keyedClasses[opts.Keyed] = true
	}
	for procedure, class := range opts.Procedures {
		if procedure == "" || procedure[0] != '/' || class == "" {
			return nil, fmt.Errorf("connect: Procedures[%q]: a procedure must begin with '/', and its class must not be empty", procedure)
		}
	}
	return d, nil
}

// HTTPClient returns the HTTP client to pass to the constructors of generated clients.
func (d *Director) HTTPClient() connectrpc.HTTPClient { return &http.Client{Transport: d.transport} }

// classOf returns the class of a call, or an error if it has none or lacks a key.
func (d *Director) classOf(spec connectrpc.Spec, key string) (string, error) {
	if class, ok := d.opts.Procedures[spec.Procedure]; ok {
		if d.keyedClasses[class] && key == "" {
			return "", fmt.Errorf("class %q needs %s", class, KeyField)
		}
		return class, nil
	}
	class := d.opts.Unsafe
	switch spec.IdempotencyLevel {
	case connectrpc.IdempotencyNoSideEffects:
		class = d.opts.Safe
	case connectrpc.IdempotencyIdempotent:
		// Without a key, servers can't detect a repeat, regardless of the level.
		if key != "" {
			class = d.opts.Keyed
		}
	}
	if class == "" {
		return "", fmt.Errorf("no class is configured for %s with idempotency level %v", spec.Procedure, spec.IdempotencyLevel)
	}
	return class, nil
}

// Interceptor returns the interceptor to pass to connect.WithInterceptors. It must be the
// last one, closest to the network.
func (d *Director) Interceptor() connectrpc.Interceptor { return &interceptor{d} }

type interceptor struct{ d *Director }

func (i *interceptor) setClass(spec connectrpc.Spec, h http.Header) error {
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
		if err := i.setClass(req.Spec(), req.Header()); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (i *interceptor) WrapStreamingClient(next connectrpc.StreamingClientFunc) connectrpc.StreamingClientFunc {
	return func(ctx context.Context, spec connectrpc.Spec) connectrpc.StreamingClientConn {
		conn := next(ctx, spec)
		err := i.setClass(spec, conn.RequestHeader())
		if spec.StreamType&connectrpc.StreamTypeClient != 0 {
			err = connectrpc.NewError(connectrpc.CodeUnimplemented, errors.New("connect: a stream from the client can't be kept for another attempt"))
		}
		if err != nil {
			return &failedConn{conn, err}
		}
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i *interceptor) WrapStreamingHandler(next connectrpc.StreamingHandlerFunc) connectrpc.StreamingHandlerFunc {
	return next
}

// failedConn is a stream that was rejected and sends nothing. It returns err from Send and
// Receive.
type failedConn struct {
	connectrpc.StreamingClientConn
	err error
}

func (c *failedConn) Send(any) error       { return c.err }
func (c *failedConn) CloseRequest() error  { return nil }
func (c *failedConn) Receive(any) error    { return c.err }
func (c *failedConn) CloseResponse() error { return nil }

// verdictTransport converts the responses that no server made to errors: Unavailable if
// trying again is harmless, Aborted if the call may have run. Without it, Connect would
// treat any 502 as Unavailable, and callers and retry interceptors that repeat such errors
// would repeat calls that may have run.
type verdictTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (w *verdictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	verdict := resp.Header.Get(client.VerdictField)
	if verdict == "" {
		return resp, nil
	}
	resp.Body.Close()
	e := connectrpc.NewError(connectrpc.CodeUnavailable, errors.New("refused: trying again is harmless"))
	if verdict == "failed" {
		e = connectrpc.NewError(connectrpc.CodeAborted, errors.New("the call failed and may have run"))
	}
	for _, name := range []string{client.VerdictField, "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			e.Meta().Set(name, v)
		}
	}
	return nil, e
}

// RetryAfter returns the delay after which a refused call may be repeated, and false if
// err is no refusal or carries no valid delay.
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
