package connect

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	connectrpc "connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"chalkrack/client"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

type word = wrapperspb.StringValue

const (
	check    = "/sim.v1.Sim/Check"
	register = "/sim.v1.Sim/Register"
	activate = "/sim.v1.Sim/Activate"
	watch    = "/sim.v1.Sim/Watch"
	upload   = "/sim.v1.Sim/Upload"
)

// testServers is a set of Connect servers that count requests by procedure and close the
// connection of the first resetsLeft requests.
type testServers struct {
	mu         sync.Mutex
	requests   map[string]int
	callIDs    map[string]int
	lastHeader http.Header
	resetsLeft int
	errorCode  connectrpc.Code // code of an error response; 0: none
	nodes      []client.Node
}

func newTestServers(t *testing.T, servers int) *testServers {
	t.Helper()
	f := &testServers{requests: make(map[string]int), callIDs: make(map[string]int)}
	mux := http.NewServeMux()
	unary := func(procedure string) {
		mux.Handle(procedure, connectrpc.NewUnaryHandler(procedure, func(_ context.Context, r *connectrpc.Request[word]) (*connectrpc.Response[word], error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.errorCode != 0 {
				return nil, connectrpc.NewError(f.errorCode, errors.New("as told"))
			}
			return connectrpc.NewResponse(wrapperspb.String("done " + r.Msg.Value)), nil
		}, connectrpc.WithIdempotency(connectrpc.IdempotencyNoSideEffects)))
	}
	unary(check)
	unary(register)
	unary(activate)
	mux.Handle(watch, connectrpc.NewServerStreamHandler(watch, func(_ context.Context, r *connectrpc.Request[word], s *connectrpc.ServerStream[word]) error {
		for n := range 3 {
			if n > 0 {
				time.Sleep(50 * time.Millisecond)
			}
			if err := s.Send(wrapperspb.String(fmt.Sprint(r.Msg.Value, n))); err != nil {
				return err
			}
		}
		return nil
	}))
	for range servers {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			f.mu.Lock()
			f.requests[r.URL.Path]++
			f.callIDs[r.Header.Get("Req-Id")]++
			f.lastHeader = r.Header.Clone()
			cut := f.resetsLeft > 0
			f.resetsLeft--
			f.mu.Unlock()
			if cut {
				c, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					c.Close()
				}
				return
			}
			mux.ServeHTTP(w, r)
		}))
		t.Cleanup(s.Close)
		f.nodes = append(f.nodes, client.Node{Address: s.Listener.Addr().String()})
	}
	return f
}

func (f *testServers) reset(resets int, code connectrpc.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetsLeft, f.errorCode = resets, code
	f.requests, f.callIDs = make(map[string]int), make(map[string]int)
}

func (f *testServers) requestCount(procedure string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[procedure]
}

func newDirector(t *testing.T, f *testServers, opts Options) *Director {
	t.Helper()
	var classes []client.Class
	for name, effect := range map[string]client.Effect{"status-check": client.Safe, "id-register": client.Keyed, "activate": client.Unsafe} {
		classes = append(classes, client.Class{Name: name, Effect: effect, Window: 8 * time.Second, Aim: 10 * time.Second, Deadline: 20 * time.Second})
	}
	tr, err := client.New(client.Config{Classes: classes, Nodes: f.nodes, MaxAttempts: 4, PassClientErrors: true, Pause: 5 * time.Second, NoCopies: true, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tr.Close(context.Background()) })
	d, err := New(tr, opts)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

var options = Options{Safe: "status-check", Keyed: "id-register", Unsafe: "activate"}

func (d *Director) client(procedure string, level connectrpc.IdempotencyLevel) *connectrpc.Client[word, word] {
	return connectrpc.NewClient[word, word](d.HTTPClient(), "http://sim.svc"+procedure, connectrpc.WithIdempotency(level), connectrpc.WithInterceptors(d.Interceptor()))
}

// The class comes from the procedure's level or from Options.Procedures: a call whose
// connection breaks is retried only if its class allows it.
func TestClassFromIdempotencyLevel(t *testing.T) {
	const none, safe, idempotent = connectrpc.IdempotencyUnknown, connectrpc.IdempotencyNoSideEffects, connectrpc.IdempotencyIdempotent
	for _, c := range []struct {
		name      string
		procedure string
		level     connectrpc.IdempotencyLevel
		key       string
		table     map[string]string
		code      connectrpc.Code // 0: served
		arrivals  int
	}{
		{"safe", check, safe, "", nil, 0, 2},
		{"keyed", register, idempotent, "k1", nil, 0, 2},
		{"idempotent without a key", register, idempotent, "", nil, connectrpc.CodeAborted, 1},
		{"unknown", activate, none, "", nil, connectrpc.CodeAborted, 1},
		{"unknown, with a key", activate, none, "k1", nil, connectrpc.CodeAborted, 1},
		{"unknown, safe by the table", check, none, "", map[string]string{check: "status-check"}, 0, 2},
		{"safe, unsafe by the table", check, safe, "", map[string]string{check: "activate"}, connectrpc.CodeAborted, 1},
		{"keyed by the table, without a key", register, none, "", map[string]string{register: "id-register"}, connectrpc.CodeInvalidArgument, 0},
		{"of no class", check, safe, "", map[string]string{check: "elsewhere"}, connectrpc.CodeUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestServers(t, 3)
			opts := options
			opts.Procedures = c.table
			d := newDirector(t, f, opts)
			f.reset(1, 0)
			r := connectrpc.NewRequest(wrapperspb.String("x"))
			if c.key != "" {
				r.Header().Set(KeyField, c.key)
			}
			resp, err := d.client(c.procedure, c.level).CallUnary(context.Background(), r)
			switch {
			case c.code == 0 && (err != nil || resp.Msg.Value != "done x"):
				t.Errorf("%v, %v", resp, err)
			case c.code != 0 && connectrpc.CodeOf(err) != c.code:
				t.Errorf("error %v, want code %v", err, c.code)
			}
			if n := f.requestCount(c.procedure); n != c.arrivals {
				t.Errorf("%d requests reached the servers, want %d", n, c.arrivals)
			}
			if len(f.callIDs) > 1 {
				t.Errorf("request ids %v, want the same id for all attempts", f.callIDs)
			}
		})
	}
}

// Application errors are answers: they are returned unchanged and not retried. Server
// errors are failed attempts.
func TestApplicationErrorsAreAnswers(t *testing.T) {
	f := newTestServers(t, 3)
	d := newDirector(t, f, options)
	c := d.client(check, connectrpc.IdempotencyNoSideEffects)
	for _, code := range []connectrpc.Code{connectrpc.CodeInvalidArgument, connectrpc.CodeNotFound, connectrpc.CodeAlreadyExists, connectrpc.CodePermissionDenied, connectrpc.CodeFailedPrecondition} {
		f.reset(0, code)
		_, err := c.CallUnary(context.Background(), connectrpc.NewRequest(wrapperspb.String("x")))
		var ce *connectrpc.Error
		if !errors.As(err, &ce) || ce.Code() != code || ce.Message() != "as told" || f.requestCount(check) != 1 {
			t.Errorf("code %v: got %v after %d requests", code, err, f.requestCount(check))
		}
	}
	f.reset(0, connectrpc.CodeInternal)
	_, err := c.CallUnary(context.Background(), connectrpc.NewRequest(wrapperspb.String("x")))
	if connectrpc.CodeOf(err) != connectrpc.CodeUnavailable || f.requestCount(check) < 2 {
		t.Errorf("internal error: got %v after %d requests", err, f.requestCount(check))
	}
	if after, ok := RetryAfter(err); !ok || after <= 0 || after > time.Second {
		t.Errorf("RetryAfter returned %v, %v", after, ok)
	}
	if _, ok := RetryAfter(errors.New("x")); ok {
		t.Error("RetryAfter returned true for an unrelated error")
	}
}

// A context's deadline is sent to the server, and its end cancels the call.
func TestContextDeadlineAndCancel(t *testing.T) {
	f := newTestServers(t, 2)
	d := newDirector(t, f, options)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := d.client(activate, connectrpc.IdempotencyUnknown)
	if _, err := c.CallUnary(ctx, connectrpc.NewRequest(wrapperspb.String("x"))); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	told := f.lastHeader.Get("Req-Deadline-Ms")
	f.mu.Unlock()
	if ms := 0; told == "" || func() bool { fmt.Sscan(told, &ms); return ms < 1 || ms > 5000 }() {
		t.Errorf("Req-Deadline-Ms at the server is %q, want 1 to 5000", told)
	}
	cancel()
	if _, err := c.CallUnary(ctx, connectrpc.NewRequest(wrapperspb.String("x"))); connectrpc.CodeOf(err) != connectrpc.CodeCanceled {
		t.Errorf("call with an ended context: %v", err)
	}
}

// A server stream is received message by message, even with pauses; a client stream is
// rejected before anything is sent.
func TestServerStreamsOnly(t *testing.T) {
	f := newTestServers(t, 2)
	d := newDirector(t, f, options)
	s, err := d.client(watch, connectrpc.IdempotencyNoSideEffects).CallServerStream(context.Background(), connectrpc.NewRequest(wrapperspb.String("m")))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for s.Receive() {
		got = append(got, s.Msg().Value)
	}
	if s.Err() != nil || fmt.Sprint(got) != "[m0 m1 m2]" {
		t.Errorf("%v, %v", got, s.Err())
	}
	s.Close()
	up := d.client(upload, connectrpc.IdempotencyUnknown).CallClientStream(context.Background())
	up.Send(wrapperspb.String("x"))
	if _, err := up.CloseAndReceive(); connectrpc.CodeOf(err) != connectrpc.CodeUnimplemented {
		t.Errorf("client stream: %v, want code unimplemented", err)
	}
	if f.requestCount(upload) != 0 {
		t.Error("the client stream reached a server")
	}
}

func TestInvalidOptions(t *testing.T) {
	if _, err := New(nil, options); err == nil {
		t.Error("New accepted a nil transport")
	}
	for _, procedures := range []map[string]string{{"sim.v1.Sim/Check": "a"}, {"": "a"}, {check: ""}} {
		if _, err := New(http.DefaultTransport, Options{Procedures: procedures}); err == nil {
			t.Errorf("New accepted the invalid procedures %v", procedures)
		}
	}
	d, err := New(http.DefaultTransport, Options{Safe: "status-check"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.client(activate, connectrpc.IdempotencyUnknown).CallUnary(context.Background(), connectrpc.NewRequest(wrapperspb.String("x")))
	if connectrpc.CodeOf(err) != connectrpc.CodeInvalidArgument || !strings.Contains(err.Error(), activate) {
		t.Errorf("call without a class: %v, want an invalid-argument error that names the procedure", err)
	}
}
