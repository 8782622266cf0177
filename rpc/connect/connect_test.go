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

// fleet is some Connect servers that count what arrives, by procedure, and break the
// first so many calls off.
type fleet struct {
	mu     sync.Mutex
	got    map[string]int
	ids    map[string]int
	last   http.Header
	breaks int
	code   connectrpc.Code // of an error answer; 0: none
	nodes  []client.Node
}

func newFleet(t *testing.T, servers int) *fleet {
	t.Helper()
	f := &fleet{got: make(map[string]int), ids: make(map[string]int)}
	mux := http.NewServeMux()
	unary := func(procedure string) {
		mux.Handle(procedure, connectrpc.NewUnaryHandler(procedure, func(_ context.Context, r *connectrpc.Request[word]) (*connectrpc.Response[word], error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.code != 0 {
				return nil, connectrpc.NewError(f.code, errors.New("as told"))
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
			f.got[r.URL.Path]++
			f.ids[r.Header.Get("Req-Id")]++
			f.last = r.Header.Clone()
			cut := f.breaks > 0
			f.breaks--
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

func (f *fleet) set(cut int, code connectrpc.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breaks, f.code = cut, code
	f.got, f.ids = make(map[string]int), make(map[string]int)
}

func (f *fleet) count(procedure string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.got[procedure]
}

func newDirector(t *testing.T, f *fleet, opts Options) *Director {
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

// What a procedure allows comes from its level, or from the table: a call that breaks
// off is made again only where its class lets it.
func TestLevels(t *testing.T) {
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
			f := newFleet(t, 3)
			opts := options
			opts.Procedures = c.table
			d := newDirector(t, f, opts)
			f.set(1, 0)
			r := connectrpc.NewRequest(wrapperspb.String("x"))
			if c.key != "" {
				r.Header().Set(KeyField, c.key)
			}
			resp, err := d.client(c.procedure, c.level).CallUnary(context.Background(), r)
			switch {
			case c.code == 0 && (err != nil || resp.Msg.Value != "done x"):
				t.Errorf("%v, %v", resp, err)
			case c.code != 0 && connectrpc.CodeOf(err) != c.code:
				t.Errorf("%v, want %v", err, c.code)
			}
			if n := f.count(c.procedure); n != c.arrivals {
				t.Errorf("%d arrivals, want %d", n, c.arrivals)
			}
			if len(f.ids) > 1 {
				t.Errorf("ids %v", f.ids)
			}
		})
	}
}

// Errors of the application are answers: they come through as they are, after one
// arrival. Those of a server are attempts that failed.
func TestErrors(t *testing.T) {
	f := newFleet(t, 3)
	d := newDirector(t, f, options)
	c := d.client(check, connectrpc.IdempotencyNoSideEffects)
	for _, code := range []connectrpc.Code{connectrpc.CodeInvalidArgument, connectrpc.CodeNotFound, connectrpc.CodeAlreadyExists, connectrpc.CodePermissionDenied, connectrpc.CodeFailedPrecondition} {
		f.set(0, code)
		_, err := c.CallUnary(context.Background(), connectrpc.NewRequest(wrapperspb.String("x")))
		var ce *connectrpc.Error
		if !errors.As(err, &ce) || ce.Code() != code || ce.Message() != "as told" || f.count(check) != 1 {
			t.Errorf("%v: %v after %d", code, err, f.count(check))
		}
	}
	f.set(0, connectrpc.CodeInternal)
	_, err := c.CallUnary(context.Background(), connectrpc.NewRequest(wrapperspb.String("x")))
	if connectrpc.CodeOf(err) != connectrpc.CodeUnavailable || f.count(check) < 2 {
		t.Errorf("%v after %d", err, f.count(check))
	}
	if after, ok := RetryAfter(err); !ok || after <= 0 || after > time.Second {
		t.Errorf("may come back after %v, %v", after, ok)
	}
	if _, ok := RetryAfter(errors.New("x")); ok {
		t.Error("of any error")
	}
}

// The deadline and the end of a context reach the call.
func TestContext(t *testing.T) {
	f := newFleet(t, 2)
	d := newDirector(t, f, options)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := d.client(activate, connectrpc.IdempotencyUnknown)
	if _, err := c.CallUnary(ctx, connectrpc.NewRequest(wrapperspb.String("x"))); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	told := f.last.Get("Req-Deadline-Ms")
	f.mu.Unlock()
	if ms := 0; told == "" || func() bool { fmt.Sscan(told, &ms); return ms < 1 || ms > 5000 }() {
		t.Errorf("the server is told %q", told)
	}
	cancel()
	if _, err := c.CallUnary(ctx, connectrpc.NewRequest(wrapperspb.String("x"))); connectrpc.CodeOf(err) != connectrpc.CodeCanceled {
		t.Errorf("a context that has ended: %v", err)
	}
}

// A server's stream comes message by message, also with pauses; one from the client is
// refused before anything is sent.
func TestStreams(t *testing.T) {
	f := newFleet(t, 2)
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
		t.Errorf("a stream from the client: %v", err)
	}
	if f.count(upload) != 0 {
		t.Error("it was sent")
	}
}

func TestBadOptions(t *testing.T) {
	if _, err := New(nil, options); err == nil {
		t.Error("no transport")
	}
	for _, procedures := range []map[string]string{{"sim.v1.Sim/Check": "a"}, {"": "a"}, {check: ""}} {
		if _, err := New(http.DefaultTransport, Options{Procedures: procedures}); err == nil {
			t.Errorf("%v is taken", procedures)
		}
	}
	d, err := New(http.DefaultTransport, Options{Safe: "status-check"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.client(activate, connectrpc.IdempotencyUnknown).CallUnary(context.Background(), connectrpc.NewRequest(wrapperspb.String("x")))
	if connectrpc.CodeOf(err) != connectrpc.CodeInvalidArgument || !strings.Contains(err.Error(), activate) {
		t.Errorf("a call of no class: %v", err)
	}
}
