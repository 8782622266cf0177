// Package admin serves operators of a running process: JSON pages and actions by HTTP over
// a Unix socket that only its owner may open. It also contains the client.
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

// Limits of connections, messages and times.
const (
	maxConns        = 16
	maxHeaderBytes  = 8 << 10
	callTimeout     = 5 * time.Second
	maxAnswerBytes  = 4 << 20
	maxRequestBytes = 9 << 20
)

// Server serves a Unix socket. It accepts at most maxConns connections at a time; more wait.
type Server struct {
	path       string
	socketInfo os.FileInfo // of the socket that this process created
	http       *http.Server
	done       chan struct{}
}

// Action carries out an action that an operator requests with a body of up to maxRequestBytes.
// The text of its error is sent to the operator as it is.
type Action func(text []byte) (any, error)

// Listen serves pages by GET and actions by POST, each at /v1/NAME, on a Unix socket at path.
// It replaces a socket that a dead process left, but fails if another process serves it.
// The error names the path.
func Listen(path string, pages map[string]func() any, actions map[string]Action) (*Server, error) {
	return listen(path, false, pages, actions)
}

// TakeOver is Listen for a process that takes over from another one of the same sidecar. It
// replaces the socket even if that one still serves it, so that new requests reach this
// process.
func TakeOver(path string, pages map[string]func() any, actions map[string]Action) (*Server, error) {
	return listen(path, true, pages, actions)
}

func listen(path string, replace bool, pages map[string]func() any, actions map[string]Action) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, callTimeout); err == nil {
		c.Close()
		if !replace {
			return nil, fmt.Errorf("admin: %s: another process serves it", path)
		}
	} else if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("admin: %s: the file exists and is not a socket", path)
	}
	// The socket is created in a folder that only the owner may enter, so that nobody else
	// can open it before its mode is set.
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
	var socketInfo os.FileInfo
	if err = os.Chmod(tmp, 0o600); err == nil {
		if socketInfo, err = os.Lstat(tmp); err == nil {
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
	for name, action := range actions {
		mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
			text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
			var v any
			if err == nil {
				v, err = action(text)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v)
		})
	}
	s := &Server{path: path, socketInfo: socketInfo, done: make(chan struct{}), http: &http.Server{
		Handler: mux, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0),
	}}
	go func() {
		defer close(s.done)
		s.http.Serve(&limitedListener{Listener: ln, slots: make(chan struct{}, maxConns)})
	}()
	return s, nil
}

// Close stops the server and removes the socket, unless another process has replaced it.
func (s *Server) Close() {
	if now, err := os.Lstat(s.path); err == nil && os.SameFile(now, s.socketInfo) {
		os.Remove(s.path)
	}
	s.http.Close()
	<-s.done
}

// limitedListener accepts a connection only while a slot is free. Closing the connection
// frees its slot.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: l.slots}, nil
}

type limitedConn struct {
	net.Conn
	slots chan struct{}
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if err == nil { // the slot is freed once: a second Close fails
		<-c.slots
	}
	return err
}

// RefusedError is the error of an action that a process did not carry out, with the text it sent.
type RefusedError string

// Error implements error.
func (r RefusedError) Error() string { return string(r) }

// Get gets a page from the process that serves the socket at path and decodes it into v. It
// blocks for up to callTimeout.
func Get(ctx context.Context, path, page string, v any) error {
	return send(ctx, path, http.MethodGet, page, nil, v)
}

// Do requests an action from the process that serves the socket at path, sends with as JSON, and
// decodes the result into v. It blocks for up to callTimeout. The error is Refused if the
// process received the request and did not carry it out.
func Do(ctx context.Context, path, action string, with, v any) error {
	text, err := json.Marshal(with)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return send(ctx, path, http.MethodPost, action, text, v)
}

func send(ctx context.Context, path, method, page string, text []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		reason, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return fmt.Errorf("admin: %s: %w", path, err)
		}
		return RefusedError(strings.TrimSpace(string(reason)))
	case http.StatusNotFound:
		return fmt.Errorf("admin: %s: the process shows no %s: it is off there", path, page)
	default:
		return fmt.Errorf("admin: %s: %s", path, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(v); err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	return nil
}
