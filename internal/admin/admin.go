// Package admin is the operators' way into a running process: HTTP and JSON over a Unix
// socket that only its owner may open. It only shows, so far.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of what operators may hold open.
const (
	connsMost  = 16
	headMost   = 8 << 10
	callWait   = 5 * time.Second
	answerMost = 4 << 20
	askMost    = 9 << 20
)

// Server serves a socket. It holds connsMost connections at most; more wait.
type Server struct {
	path string
	own  os.FileInfo // of its socket
	http *http.Server
	done chan struct{}
}

// Deed is something that operators ask for, with a text of up to askMost bytes. Its
// error is answered as it reads.
type Deed func(text []byte) (any, error)

// Listen serves pages, each at /v1/NAME, on a socket at a path, and deeds, which are
// asked for by POST. One that a dead process left is replaced, one that answers is not.
// The error names the path.
func Listen(path string, pages map[string]func() any, deeds map[string]Deed) (*Server, error) {
	return listen(path, false, pages, deeds)
}

// Succeed is Listen for a process that follows another of the same sidecar, which may still
// serve: whoever asks from now on asks this one.
func Succeed(path string, pages map[string]func() any, deeds map[string]Deed) (*Server, error) {
	return listen(path, true, pages, deeds)
}

func listen(path string, succeeds bool, pages map[string]func() any, deeds map[string]Deed) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, callWait); err == nil {
		c.Close()
		if !succeeds {
			return nil, fmt.Errorf("admin: %s: another process serves it", path)
		}
	} else if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("admin: %s: is there and no socket", path)
	}
	// It is made in a folder that nobody else may enter: guards the moment between its
	// making and its mode.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".admin")
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	defer os.RemoveAll(dir)
	tmp := filepath.Join(dir, "s")
	ln, err := net.Listen("unix", tmp)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	var own os.FileInfo
	if err = os.Chmod(tmp, 0o600); err == nil {
		if own, err = os.Lstat(tmp); err == nil {
			err = os.Rename(tmp, path)
		}
	}
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	for name, page := range pages {
		mux.HandleFunc("GET /v1/"+name, func(w http.ResponseWriter, _ *http.Request) {
			text, err := json.Marshal(page())
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(append(text, '\n'))
		})
	}
	for name, deed := range deeds {
		mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
			text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, askMost))
			var v any
			if err == nil {
				v, err = deed(text)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v)
		})
	}
	s := &Server{path: path, own: own, done: make(chan struct{}), http: &http.Server{
		Handler: mux, ReadTimeout: callWait, WriteTimeout: callWait, IdleTimeout: callWait, MaxHeaderBytes: headMost,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0),
	}}
	go func() {
		defer close(s.done)
		s.http.Serve(&limited{Listener: ln, room: make(chan struct{}, connsMost)})
	}()
	return s, nil
}

// Close ends it and removes the socket, unless another process has put its own there.
func (s *Server) Close() {
	if now, err := os.Lstat(s.path); err == nil && os.SameFile(now, s.own) {
		os.Remove(s.path)
	}
	s.http.Close()
	<-s.done
}

// limited takes no more connections than there is room for.
type limited struct {
	net.Listener
	room chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.room <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{Conn: c, room: l.room}, nil
}

type limitedConn struct {
	net.Conn
	room chan struct{}
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if err == nil { // once: a second Close fails
		<-c.room
	}
	return err
}

// Refused is what a process says to a deed that it does not do.
type Refused string

// Error implements error.
func (r Refused) Error() string { return string(r) }

// Ask asks a socket for a page, into v.
func Ask(ctx context.Context, path, page string, v any) error {
	return ask(ctx, path, http.MethodGet, page, nil, v)
}

// Do asks a socket for a deed, and for what it says of it into v. An error is Refused
// where the process was asked and did nothing.
func Do(ctx context.Context, path, deed string, with, v any) error {
	text, err := json.Marshal(with)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return ask(ctx, path, http.MethodPost, deed, text, v)
}

func ask(ctx context.Context, path, method, page string, text []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	t := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}
	defer t.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://admin/v1/"+page, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		why, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
		if err != nil {
			return fmt.Errorf("admin: %s: %w", path, err)
		}
		return Refused(strings.TrimSpace(string(why)))
	case http.StatusNotFound:
		return fmt.Errorf("admin: %s: the process shows no %s: it is off there", path, page)
	default:
		return fmt.Errorf("admin: %s: %s", path, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, answerMost)).Decode(v); err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	return nil
}
