package consensus

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

	"chalkrack/internal/agreement"
)

const (
	// maxRequestBytes is the maximum size in bytes of a request of a sidecar or operator.
	maxRequestBytes = agreement.MaxBodyBytes + 64<<10
	// holdDivisor divides the lease: the response to a renewal is delayed for up to this part of it
	// while there is nothing new to report.
	holdDivisor = 4
	// founderPollInterval is the interval at which a founding member calls the others until all
	// respond.
	founderPollInterval = 200 * time.Millisecond
)

// Server is the process of a member. It owns the listener and the folder, and runs the Member once
// the council has been founded or the member has been started to join.
type Server struct {
	cfg       Config
	store     *store
	transport *transport
	ln        net.Listener
	http      *http.Server
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu     sync.Mutex
	member *Member // nil: not started yet
}

// Open opens the folder and starts to listen. If the folder belongs to this member already, Open
// also starts the member; otherwise Run does so, for a founder once all founders have responded.
func Open(cfg Config) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	st, err := openStore(cfg.Folder)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, store: st, transport: newTransport(cfg.Key, cfg.Members)}
	id, _, err := st.identity()
	if err == nil && id != nil && (id.Fleet != cfg.Fleet || id.Name != cfg.Name) {
		err = fmt.Errorf("council: folder %s belongs to %q in fleet %q: %w", cfg.Folder, id.Name, id.Fleet, ErrForeignFolder)
	}
	if err == nil {
		s.ln, err = net.Listen("tcp", cfg.Listen)
	}
	if err == nil && id != nil {
		s.transport.self = s.sender(id.ID)
		s.member, err = startMember(cfg, id.ID, st, s.transport)
	}
	if err != nil {
		if s.ln != nil {
			s.ln.Close()
		}
		s.transport.close()
		st.close()
		return nil, err
	}
	mux := http.NewServeMux()
	for path, serve := range map[string]func(context.Context, []byte) (any, error){
		"/raft": s.handleRaft, "/found": s.handleFound, "/v1/renew": s.handleRenew, "/v1/entry": s.handleEntry, "/v1/status": s.handleStatus, "/v1/members": s.handleMembers,
	} {
		mux.HandleFunc("POST "+path, s.authenticated(path, serve))
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.http = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }, ReadHeaderTimeout: transportTimeout, ReadTimeout: 2 * transportTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	s.wg.Go(func() {
		if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("council: stopped serving requests", "err", err)
		}
	})
	return s, nil
}

// sender returns the sender that identifies this member to the others. Its address is that of the
// configuration if there is one, else that of the listener.
func (s *Server) sender(id uint64) sender {
	return sender{id, Endpoint{s.cfg.Name, cmp.Or(s.cfg.Members[s.cfg.Name], s.Addr())}}
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run starts the member if Open has not, and blocks until ctx ends or the member fails. It returns
// the error of the failure. It does not stop the member; Close does.
func (s *Server) Run(ctx context.Context) error {
	if s.currentMember() == nil {
		m, err := s.bootstrap(ctx)
		if err != nil || m == nil {
			return err
		}
	}
	slog.Info("council: ready", "name", s.cfg.Name, "listen", s.Addr())
	select {
	case <-ctx.Done():
		return nil
	case <-s.currentMember().done:
		return s.currentMember().failed
	}
}

// currentMember returns the member, nil if it has not started yet.
func (s *Server) currentMember() *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member
}

// Close transfers the leadership if this member leads, and releases the listener and the folder.
func (s *Server) Close() error {
	var err error
	if m := s.currentMember(); m != nil {
		err = m.Close()
	}
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	s.wg.Wait()
	s.transport.close()
	return errors.Join(err, s.store.close())
}

// founderStatus is the request and the response between founding members.
type founderStatus struct {
	Fleet  string `json:"fleet"`
	HasLog bool   `json:"begun"` // the member has a log
}

// ErrFolderLost means that the folder of a founding member is empty although the council already
// has a log, so the votes that the member gave are lost.
var ErrFolderLost = errors.New("the folder of this member is empty although the council has a log: its earlier votes are lost, so it must not vote under its old id. Remove it from the council, then start it with join = true")

// bootstrap assigns the folder and starts the member. A founder first waits for the other founders;
// a joining member gets a new id and receives its log once it has been added.
func (s *Server) bootstrap(ctx context.Context) (*Member, error) {
	id := folderIdentity{Fleet: s.cfg.Fleet, Name: s.cfg.Name}
	var snap *raftpb.Snapshot
	if s.cfg.Join {
		id.ID = max(1, rand.Uint64())
		slog.Info("council: waiting to be added as a member", "name", id.Name, "id", id.ID)
	} else {
		id.ID = founderID(s.cfg.Fleet, s.cfg.Name)
		ok, err := s.awaitFounders(ctx)
		if err != nil || !ok {
			return nil, err
		}
		if snap, err = s.initialSnapshot(); err != nil {
			return nil, err
		}
	}
	if err := s.store.assignFolder(id, snap); err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	s.transport.self = s.sender(id.ID)
	m, err := startMember(s.cfg, id.ID, s.store, s.transport)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.member = m
	s.mu.Unlock()
	return m, nil
}

// awaitFounders waits until all other founders have responded; it returns false if ctx ended
// before. If another founder has a log and none has ever asked this member for its state, this
// member had a log itself and has lost it: the error wraps ErrFolderLost.
func (s *Server) awaitFounders(ctx context.Context) (bool, error) {
	c := &http.Client{Timeout: transportTimeout}
	defer c.CloseIdleConnections()
	for {
		responded := 1
		for name, addr := range s.cfg.Members {
			if name == s.cfg.Name {
				continue
			}
			body, err := json.Marshal(founderStatus{Fleet: s.cfg.Fleet})
			if err != nil {
				return false, err
			}
			text, err := postRequest(ctx, c, []byte(s.cfg.Key), addr, "/found", body)
			var answer founderStatus
			if err == nil {
				err = json.Unmarshal(text, &answer)
			}
			var refusal *Refusal
			switch {
			case errors.Is(err, ErrWrongKey), errors.As(err, &refusal):
				return false, fmt.Errorf("council: member %s at %s: %w", name, addr, err)
			case err != nil:
				continue
			}
			responded++
			if !answer.HasLog {
				continue
			}
			// Before it started, the other founder must have called this member. A folder without
			// a record of such a call was lost after the council was founded.
			if _, asked, err := s.store.identity(); err != nil || !asked {
				return false, fmt.Errorf("council: member %s at %s: %w", name, addr, errors.Join(err, ErrFolderLost))
			}
		}
		if responded == len(s.cfg.Members) {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, nil
		case <-time.After(founderPollInterval):
		}
	}
}

// initialSnapshot returns the snapshot that the log begins with. It is the same at each founder.
func (s *Server) initialSnapshot() (*raftpb.Snapshot, error) {
	state := replicatedState{Fleet: s.cfg.Fleet, Members: make(map[uint64]Endpoint)}
	conf := new(raftpb.ConfState)
	for name := range s.cfg.Members {
		id := founderID(s.cfg.Fleet, name)
		state.Members[id] = Endpoint{Name: name} // addresses come from each member's own configuration
		conf.Voters = append(conf.Voters, id)
	}
	slices.Sort(conf.Voters)
	text, err := json.Marshal(&state)
	one := uint64(1)
	return &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}}, err
}

// handleFound responds to another founder. It first records that the folder was empty, as the other
// founder may then start: an empty folder is no longer a sign of lost data.
func (s *Server) handleFound(_ context.Context, body []byte) (any, error) {
	var f founderStatus
	if err := decodeStrict(body, &f); err != nil {
		return nil, err
	}
	if f.Fleet != s.cfg.Fleet {
		return nil, &Refusal{Code: http.StatusConflict, Text: fmt.Sprintf("this member belongs to fleet %q", s.cfg.Fleet)}
	}
	hasLog := s.currentMember() != nil
	if !hasLog {
		if err := s.store.markAsked(); err != nil {
			return nil, err
		}
	}
	return founderStatus{s.cfg.Fleet, hasLog}, nil
}

// authenticated returns the handler of a path. It verifies that the request was made with the
// fleet's key, maps errors to status codes and authenticates the response.
func (s *Server) authenticated(path string, serve func(context.Context, []byte) (any, error)) http.HandlerFunc {
	key, maxBytes := []byte(s.cfg.Key), int64(maxRequestBytes)
	if path == "/raft" {
		maxBytes = maxBatchBytes
	}
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
		if err != nil {
			http.Error(w, "the request is too long or incomplete", http.StatusRequestEntityTooLarge)
			return
		}
		requestMAC := computeMAC(key, []byte(path), body)
		if got, err := hex.DecodeString(r.Header.Get(macHeader)); err != nil || !hmac.Equal(got, requestMAC) {
			http.Error(w, ErrWrongKey.Error(), http.StatusForbidden)
			return
		}
		v, err := serve(r.Context(), body)
		code, text := http.StatusOK, []byte(nil)
		if err == nil && v != nil {
			text, err = json.Marshal(v)
		}
		if err != nil {
			var refusal *Refusal
			code, text = http.StatusConflict, []byte(err.Error())
			switch {
			case errors.As(err, &refusal):
				code = refusal.Code
			case errors.Is(err, ErrNotLeader):
				code = http.StatusMisdirectedRequest
				if m := s.currentMember(); m != nil {
					st := m.Status()
					w.Header().Set("Fawn-Leader", st.Leader.Name+" "+st.Leader.Addr)
				}
			case errors.Is(err, ErrTimeout), errors.Is(err, ErrStopping):
				code = http.StatusServiceUnavailable
			}
		}
		w.Header().Set(macHeader, hex.EncodeToString(computeMAC(key, requestMAC, text)))
		w.WriteHeader(code)
		w.Write(text)
	}
}

// decodeStrict decodes JSON and rejects unknown fields: an entry from a newer caller must not be
// applied without the fields that this version does not know.
func decodeStrict(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return &Refusal{Code: http.StatusBadRequest, Text: "invalid request: " + err.Error()}
	}
	return nil
}

// requireMember returns the member, or an error response if it has not started yet.
func (s *Server) requireMember() (*Member, error) {
	if m := s.currentMember(); m != nil {
		return m, nil
	}
	return nil, &Refusal{Code: http.StatusServiceUnavailable, Text: "this member has not started: not all founding members have responded yet"}
}

// handleRaft handles a batch of raft messages.
func (s *Server) handleRaft(ctx context.Context, body []byte) (any, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	from, messages, err := decodeBatch(body)
	if err != nil {
		return nil, &Refusal{Code: http.StatusBadRequest, Text: err.Error()}
	}
	s.transport.addSender(from)
	for _, msg := range messages {
		if msg.GetTo() != m.id { // for a member that had this address before
			continue
		}
		select {
		case s.transport.received <- msg:
		case <-m.done:
			return nil, ErrStopping
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, nil
}

// handleRenew handles a sidecar's request.
func (s *Server) handleRenew(ctx context.Context, body []byte) (any, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	var r agreement.Request
	if err := decodeStrict(body, &r); err != nil {
		return nil, err
	}
	return m.Renew(ctx, r, time.Duration(s.cfg.Lease)/holdDivisor)
}

// handleEntry handles an operator's entry: a proposal, its withdrawal, or the removal of a sidecar.
func (s *Server) handleEntry(ctx context.Context, body []byte) (any, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	var e agreement.Entry
	if err := decodeStrict(body, &e); err != nil {
		return nil, err
	}
	if e.Kind != agreement.KindPropose && e.Kind != agreement.KindWithdraw && e.Kind != agreement.KindRemove {
		return nil, &Refusal{Code: http.StatusBadRequest, Text: fmt.Sprintf("%q is not an entry that an operator can propose", e.Kind)}
	}
	if err := m.ProposeEntry(ctx, e); err != nil {
		return nil, err
	}
	return m.Status(), nil
}

// statusRequest is the body of a request for the status.
type statusRequest struct {
	Confirmed bool `json:"sure"` // a linearizable read, which only the leader can serve
}

// handleStatus handles a request for the status.
func (s *Server) handleStatus(ctx context.Context, body []byte) (any, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	var r statusRequest
	if err := decodeStrict(body, &r); err != nil {
		return nil, err
	}
	if r.Confirmed {
		if err := m.ConfirmRead(ctx); err != nil {
			return nil, err
		}
	}
	return m.Status(), nil
}

// memberChange is the body of a request to add or remove a member. The endpoint is ignored if
// Remove is set.
type memberChange struct {
	Remove bool   `json:"remove"`
	ID     uint64 `json:"id"`
	Endpoint
}

// handleMembers handles a request to add or remove a member.
func (s *Server) handleMembers(ctx context.Context, body []byte) (any, error) {
	m, err := s.requireMember()
	if err != nil {
		return nil, err
	}
	var c memberChange
	if err := decodeStrict(body, &c); err != nil {
		return nil, err
	}
	if err := m.ProposeMemberChange(ctx, c.ID, c.Endpoint, c.Remove); err != nil {
		return nil, err
	}
	return m.Status(), nil
}
