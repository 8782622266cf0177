package admin

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// A server answers pages and actions, refuses what it has to, answers again after idle
// connections have used up its slots, and leaves neither socket nor goroutine behind.
func TestServePagesAndActions(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	type view struct{ N int }
	pages := map[string]func() any{"status": func() any { return view{7} }}
	actions := map[string]Action{"set": func(text []byte) (any, error) {
		if string(text) != `{"N":8}` {
			return nil, errors.New("only 8 will do")
		}
		return view{9}, nil
	}}
	// A socket that a dead process left: nobody serves it.
	ln, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	ln.Close()
	s, err := Listen(path, pages, actions)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	var v view
	for range 3 * maxConns { // each call closes its connection
		if err := Get(t.Context(), path, "status", &v); err != nil || v.N != 7 {
			t.Fatalf("%+v, %v", v, err)
		}
	}
	if err := Get(t.Context(), path, "bodies", &v); err == nil || !strings.Contains(err.Error(), "off there") {
		t.Errorf("page that is not served: %v", err)
	}
	if err := Do(t.Context(), path, "set", view{8}, &v); err != nil || v.N != 9 {
		t.Errorf("action: %+v, %v; want 9", v, err)
	}
	var refused RefusedError
	if err := Do(t.Context(), path, "set", view{7}, &v); !errors.As(err, &refused) || refused != "only 8 will do" {
		t.Errorf("refused action: %v", err)
	}
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("POST /v1/status HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	p := make([]byte, 12)
	if _, err := c.Read(p); err != nil || string(p) != "HTTP/1.1 405" {
		t.Errorf("POST of a page: %q, %v", p, err)
	}
	c.Close()
	if _, err := Listen(path, pages, actions); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("Listen on a socket that is served: %v", err)
	}
	// Idle connections use up all slots; once the clients close them the server answers.
	var idle []net.Conn
	for range 2 * maxConns {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	for _, c := range idle {
		c.Close()
	}
	if err := Get(t.Context(), path, "status", &v); err != nil {
		t.Errorf("call after idle connections: %v", err)
	}
	s.Close()
	if _, err := os.Lstat(path); !os.IsNotExist(err) {
		t.Errorf("the socket is left after Close: %v", err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 0 {
		t.Errorf("files left after Close: %v", left)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file, pages, actions); err == nil {
		t.Error("Listen replaced a file that is not a socket")
	}
	if err := Get(context.Background(), path, "status", &v); err == nil {
		t.Error("a call succeeded after Close")
	}
}

// A request body beyond maxRequestBytes is rejected. No configuration is that long, and
// without the bound a caller could use up the memory.
func TestRequestTooLong(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, nil, map[string]Action{"set": func([]byte) (any, error) { return 1, nil }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := Do(t.Context(), path, "set", strings.Repeat("x", maxRequestBytes), new(int)); err == nil {
		t.Error("a request beyond maxRequestBytes was accepted")
	}
}

// A process that takes over replaces the socket at the path, and the previous process must
// not remove the new socket when it ends.
func TestSucceedReplacesSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	page := func(n int) map[string]func() any { return map[string]func() any{"n": func() any { return n }} }
	first, err := Listen(path, page(1), nil)
	if err != nil {
		t.Fatal(err)
	}
	second, err := TakeOver(path, page(2), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, end := range []*Server{first, second} {
		var n int
		if err := Get(context.Background(), path, "n", &n); err != nil || n != 2 { // before and after the first server is closed
			t.Errorf("server %d answered, %v; want the second one", n, err)
		}
		end.Close()
	}
	if _, err := os.Lstat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the socket is left after the last Close: %v", err)
	}
}
