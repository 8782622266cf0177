package council

import (
	"bytes"
	"cmp"
	"context"
	"crypto/hmac"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"chalkrack/internal/agreed"
)

const (
	// callMost bounds a call of a sidecar or operator, in bytes.
	callMost = agreed.MaxBodyBytes + 64<<10
	// holdShare of a lease is how long a call waits for news.
	holdShare = 4
	// foundEach is how often founders ask for each other.
	foundEach = 200 * time.Millisecond
)

// Server is a member's process: its address, its folder, and the member once the council has
// been founded.
type Server struct {
	cfg   Config
	store *store
	post  *post
	ln    net.Listener
	http  *http.Server
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu     sync.Mutex
	member *Member // nil: not yet
}

// Open listens and takes part: at once where the folder has a log, else once the founders have
// found each other.
func Open(cfg Config) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	st, err := openStore(cfg.Folder)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, store: st, post: newPost(cfg.Key, cfg.Members)}
	id, _, err := st.identity()
	if err == nil && id != nil && (id.Fleet != cfg.Fleet || id.Name != cfg.Name) {
		err = fmt.Errorf("council: folder %s is of %q in fleet %q: %w", cfg.Folder, id.Name, id.Fleet, ErrOther)
	}
	if err == nil {
		s.ln, err = net.Listen("tcp", cfg.Listen)
	}
	if err == nil && id != nil {
		s.post.self = s.sender(id.ID)
		s.member, err = start(cfg, id.ID, st, s.post)
	}
	if err != nil {
		if s.ln != nil {
			s.ln.Close()
		}
		s.post.close()
		st.close()
		return nil, err
	}
	mux := http.NewServeMux()
	for path, serve := range map[string]func(context.Context, []byte) (any, error){
		"/raft": s.raft, "/found": s.asked, "/v1/renew": s.renew, "/v1/entry": s.entry, "/v1/status": s.status, "/v1/members": s.members,
	} {
		mux.HandleFunc("POST "+path, s.keyed(path, serve))
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.http = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }, ReadHeaderTimeout: postWait, ReadTimeout: 2 * postWait, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	s.wg.Go(func() {
		if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("council: no more calls", "err", err)
		}
	})
	return s, nil
}

// sender is this member as others are told of it: where its file says, or where it listens.
func (s *Server) sender(id uint64) sender {
	return sender{id, Peer{s.cfg.Name, cmp.Or(s.cfg.Members[s.cfg.Name], s.Addr())}}
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run takes part until ctx ends, and hands over then. It returns why it could not go on.
func (s *Server) Run(ctx context.Context) error {
	if s.now() == nil {
		m, err := s.begin(ctx)
		if err != nil || m == nil {
			return err
		}
	}
	slog.Info("council: ready", "name", s.cfg.Name, "listen", s.Addr())
	select {
	case <-ctx.Done():
		return nil
	case <-s.now().done:
		return s.now().failed
	}
}

func (s *Server) now() *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member
}

// Close hands the lead over, if it has it, and ends.
func (s *Server) Close() error {
	var err error
	if m := s.now(); m != nil {
		err = m.Close()
	}
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	s.wg.Wait()
	s.post.close()
	return errors.Join(err, s.store.close())
}

// found is what founders tell one another.
type found struct {
	Fleet string `json:"fleet"`
	Begun bool   `json:"begun"` // it has a log
}

// ErrForgot is of a member that finds an empty folder where the others have a log.
var ErrForgot = errors.New("this member's folder is empty and the council has begun: what it has promised is lost, and it must not vote as who it was. Remove it, and start it anew with join = true")

// begin founds the council, or waits to be added.
func (s *Server) begin(ctx context.Context) (*Member, error) {
	id := identity{Fleet: s.cfg.Fleet, Name: s.cfg.Name}
	var snap *raftpb.Snapshot
	if s.cfg.Join {
		id.ID = max(1, rand.Uint64())
		slog.Info("council: waits to be added", "name", id.Name, "id", id.ID)
	} else {
		id.ID = founderID(s.cfg.Fleet, s.cfg.Name)
		ok, err := s.founders(ctx)
		if err != nil || !ok {
			return nil, err
		}
		if snap, err = s.first(); err != nil {
			return nil, err
		}
	}
	if err := s.store.found(id, snap); err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	s.post.self = s.sender(id.ID)
	m, err := start(s.cfg, id.ID, s.store, s.post)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.member = m
	s.mu.Unlock()
	return m, nil
}

// founders waits until all others have been heard; false: it was told to end. One that nobody
// has asked before, while another has begun, had a log once.
func (s *Server) founders(ctx context.Context) (bool, error) {
	c := &http.Client{Timeout: postWait}
	defer c.CloseIdleConnections()
	for {
		heard := 1
		for name, addr := range s.cfg.Members {
			if name == s.cfg.Name {
				continue
			}
			body, err := json.Marshal(found{Fleet: s.cfg.Fleet})
			if err != nil {
				return false, err
			}
			text, err := call(ctx, c, []byte(s.cfg.Key), addr, "/found", body)
			var f found
			if err == nil {
				err = json.Unmarshal(text, &f)
			}
			var no *Refusal
			switch {
			case errors.Is(err, ErrKey), errors.As(err, &no):
				return false, fmt.Errorf("council: member %s at %s: %w", name, addr, err)
			case err != nil:
				continue
			}
			heard++
			if !f.Begun {
				continue
			}
			// Before it began it has asked this one, if that was there.
			if _, asked, err := s.store.identity(); err != nil || !asked {
				return false, fmt.Errorf("council: member %s at %s: %w", name, addr, errors.Join(err, ErrForgot))
			}
		}
		if heard == len(s.cfg.Members) {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, nil
		case <-time.After(foundEach):
		}
	}
}

// first is what the log begins with, the same at each founder.
func (s *Server) first() (*raftpb.Snapshot, error) {
	c := content{Fleet: s.cfg.Fleet, Members: make(map[uint64]Peer)}
	conf := new(raftpb.ConfState)
	for name := range s.cfg.Members {
		id := founderID(s.cfg.Fleet, name)
		c.Members[id] = Peer{Name: name} // where it is says each member's file
		conf.Voters = append(conf.Voters, id)
	}
	slices.Sort(conf.Voters)
	text, err := json.Marshal(&c)
	one := uint64(1)
	return &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}}, err
}

// asked answers another founder. From then on this folder may be empty beside one that has begun.
func (s *Server) asked(_ context.Context, body []byte) (any, error) {
	var f found
	if err := strict(body, &f); err != nil {
		return nil, err
	}
	if f.Fleet != s.cfg.Fleet {
		return nil, &Refusal{Code: http.StatusConflict, Text: fmt.Sprintf("this member is of fleet %q", s.cfg.Fleet)}
	}
	begun := s.now() != nil
	if !begun {
		if err := s.store.asked(); err != nil {
			return nil, err
		}
	}
	return found{s.cfg.Fleet, begun}, nil
}

// keyed reads a call of somebody with the fleet's key, and answers with it.
func (s *Server) keyed(path string, serve func(context.Context, []byte) (any, error)) http.HandlerFunc {
	key, most := []byte(s.cfg.Key), int64(callMost)
	if path == "/raft" {
		most = batchMost
	}
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		if err != nil {
			http.Error(w, "the call is too long, or did not come whole", http.StatusRequestEntityTooLarge)
			return
		}
		asked := mac(key, []byte(path), body)
		if got, err := hex.DecodeString(r.Header.Get(macHeader)); err != nil || !hmac.Equal(got, asked) {
			http.Error(w, ErrKey.Error(), http.StatusForbidden)
			return
		}
		v, err := serve(r.Context(), body)
		code, text := http.StatusOK, []byte(nil)
		if err == nil && v != nil {
			text, err = json.Marshal(v)
		}
		if err != nil {
			var no *Refusal
			code, text = http.StatusConflict, []byte(err.Error())
			switch {
			case errors.As(err, &no):
				code = no.Code
			case errors.Is(err, ErrNotLeader):
				code = http.StatusMisdirectedRequest
				if m := s.now(); m != nil {
					st := m.Status()
					w.Header().Set("Fawn-Leader", st.Leader.Name+" "+st.Leader.Addr)
				}
			case errors.Is(err, ErrSlow), errors.Is(err, ErrEnding):
				code = http.StatusServiceUnavailable
			}
		}
		w.Header().Set(macHeader, hex.EncodeToString(mac(key, asked, text)))
		w.WriteHeader(code)
		w.Write(text)
	}
}

// strict reads JSON of known fields only: what a newer caller asks beyond them must not be agreed
// on without them.
func strict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &Refusal{Code: http.StatusBadRequest, Text: "the call makes no sense: " + err.Error()}
	}
	return nil
}

// here is the member, or why there is none yet.
func (s *Server) here() (*Member, error) {
	if m := s.now(); m != nil {
		return m, nil
	}
	return nil, &Refusal{Code: http.StatusServiceUnavailable, Text: "this member has not found all founders yet"}
}

func (s *Server) raft(ctx context.Context, body []byte) (any, error) {
	m, err := s.here()
	if err != nil {
		return nil, err
	}
	from, all, err := unpacked(body)
	if err != nil {
		return nil, &Refusal{Code: http.StatusBadRequest, Text: err.Error()}
	}
	s.post.learn(from)
	for _, msg := range all {
		if msg.GetTo() != m.id { // of who had this address before
			continue
		}
		select {
		case s.post.in <- msg:
		case <-m.done:
			return nil, ErrEnding
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, nil
}

func (s *Server) renew(ctx context.Context, body []byte) (any, error) {
	m, err := s.here()
	if err != nil {
		return nil, err
	}
	var r agreed.Request
	if err := strict(body, &r); err != nil {
		return nil, err
	}
	return m.Renew(ctx, r, time.Duration(s.cfg.Lease)/holdShare)
}

// entry is an operator's: a proposal, its withdrawal, or a word that a sidecar is no more.
func (s *Server) entry(ctx context.Context, body []byte) (any, error) {
	m, err := s.here()
	if err != nil {
		return nil, err
	}
	var e agreed.Entry
	if err := strict(body, &e); err != nil {
		return nil, err
	}
	if e.Kind != agreed.Propose && e.Kind != agreed.Withdraw && e.Kind != agreed.Forget {
		return nil, &Refusal{Code: http.StatusBadRequest, Text: fmt.Sprintf("%q is nothing that an operator does", e.Kind)}
	}
	if err := m.Enter(ctx, e); err != nil {
		return nil, err
	}
	return m.Status(), nil
}

// reading is how a status is asked for.
type reading struct {
	Sure bool `json:"sure"` // by whoever leads, and nothing that was agreed on before the call is missing
}

func (s *Server) status(ctx context.Context, body []byte) (any, error) {
	m, err := s.here()
	if err != nil {
		return nil, err
	}
	var r reading
	if err := strict(body, &r); err != nil {
		return nil, err
	}
	if r.Sure {
		if err := m.Confirm(ctx); err != nil {
			return nil, err
		}
	}
	return m.Status(), nil
}

// change is one of the members.
type change struct {
	Remove bool   `json:"remove"`
	ID     uint64 `json:"id"`
	Peer
}

func (s *Server) members(ctx context.Context, body []byte) (any, error) {
	m, err := s.here()
	if err != nil {
		return nil, err
	}
	var c change
	if err := strict(body, &c); err != nil {
		return nil, err
	}
	if err := m.Change(ctx, c.ID, c.Peer, c.Remove); err != nil {
		return nil, err
	}
	return m.Status(), nil
}
