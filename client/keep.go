package client

import (
	"errors"
	"fmt"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/bodypolicy"
	"chalkrack/internal/spool"
)

// Keep configures how request bodies are stored for further attempts: short ones in
// memory and longer ones in files. A body that is longer still, or for which there is no
// room, is not stored: its call has one attempt, which streams the body as it is read.
type Keep struct {
	Memory        int64 // bytes in memory, of all calls; 0: storing is off
	MemoryLongest int64 // bytes in memory, of one body; 0: a quarter of Memory
	// Folder holds the files; empty: no files are used. Several processes may share it.
	Folder      string
	Disk        int64 // bytes in files, of all calls; 0: 256 MiB
	FileLongest int64 // bytes in a file, of one body; 0: a quarter of Disk
	Files       int64 // open files; 0: 32
	Streams     int64 // concurrent bodies that are streamed instead of stored; 0: 32
	Compress    bool
	Within      time.Duration // timeout for sending a streamed body; 0: a minute
}

const bodyWindowBytes = 64 << 10

// newStore opens the store for bodies and returns nil if storing is off. Errors name the
// invalid field.
func (p *validConfig) newStore() (*body.Store, error) {
	k := &p.Keep
	for name, v := range map[string]int64{"Memory": k.Memory, "MemoryLongest": k.MemoryLongest, "Disk": k.Disk, "FileLongest": k.FileLongest,
		"Files": k.Files, "Streams": k.Streams, "Within": int64(k.Within)} {
		if v < 0 {
			return nil, fmt.Errorf("client: Keep.%s must be 0 or more", name)
		}
	}
	if k.Memory == 0 {
		if *k != (Keep{}) {
			return nil, errors.New("client: Keep.Memory is not set")
		}
		return nil, nil
	}
	k.MemoryLongest = orDefault(k.MemoryLongest, max(1, k.Memory/4))
	k.Disk = orDefault(k.Disk, 256<<20)
	k.FileLongest = orDefault(k.FileLongest, max(k.MemoryLongest, k.Disk/4))
	k.Files, k.Streams, k.Within = orDefault(k.Files, 32), orDefault(k.Streams, 32), orDefault(k.Within, time.Minute)
	names := p.settings.ClassNames()
	cfg := body.Config{
		Limits: bodypolicy.Limits{Memory: k.Memory, MemoryMost: k.MemoryLongest, MoveLeast: spool.MaxPieceBytes, FileMost: k.MemoryLongest,
			Streams: k.Streams, Shares: make([]float64, len(names)), High: 0.8, Low: 0.6, Tenants: len(p.settings.Config.Tenants)},
		Disk:    bodypolicy.DiskLimits{SlowAfter: 100 * time.Millisecond, MinTrialDelay: time.Second, MaxTrialDelay: 30 * time.Second, RequiredTrials: 3},
		Classes: names, Window: bodyWindowBytes, Log: p.Log,
	}
	for n := range names { // half of the capacity is reserved for the classes in equal shares
		cfg.Limits.Shares[n] = 0.5 / float64(len(names))
	}
	cfg.Limits.Lend = 0.5
	if err := cfg.Limits.Validate(); err != nil {
		return nil, fmt.Errorf("client: Keep: %w", err)
	}
	if k.Folder != "" {
		cfg.Limits.Disk, cfg.Limits.FileMost, cfg.Limits.Files = k.Disk, k.FileLongest, k.Files
		if err := cfg.Limits.Validate(); err != nil {
			return nil, fmt.Errorf("client: Keep: %w", err)
		}
		var err error
		cfg.Spool, err = spool.New(spool.Config{Folder: k.Folder, Workers: 4, Queue: 64, Classes: len(names), Wait: 500 * time.Millisecond, Compress: k.Compress})
		if err != nil {
			return nil, fmt.Errorf("client: Keep.Folder: %w", err)
		}
	}
	s, err := body.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("client: Keep: %w", err)
	}
	return s, nil
}

// BodiesView reports where bodies are stored and how many were retried, by class.
type BodiesView = body.View

// Bodies returns the state of the body store; ok is false if Config.Keep is off.
func (t *Transport) Bodies() (v BodiesView, ok bool) {
	if t.store == nil {
		return v, false
	}
	return t.store.View(), true
}

// receiveBody stores the request's body, or begins to stream it, and returns its length,
// -1 if it is sent in chunks.
func (c *call) receiveBody(info Info) (size int64, err error) {
	t := c.t
	in := body.Incoming{Class: t.cfg.settings.ClassIndex([]byte(info.Class)), Tenant: t.cfg.settings.TenantIndex([]byte(info.Tenant)), Length: -1, Body: c.r.Body}
	if c.r.ContentLength > 0 {
		in.Length = c.r.ContentLength
	}
	c.reqBody, err = t.store.Receive(in)
	switch {
	case errors.Is(err, body.ErrNoRoom):
		return 0, fmt.Errorf("%w: no room to store it or to stream it", ErrBodyTooLarge)
	case err != nil:
		return 0, fmt.Errorf("client: reading the body: %w", err)
	}
	if pieces := c.reqBody.Pieces(); pieces != nil {
		c.msg.Body, c.msg.OnRetry = pieces, c.reqBody.RecordRetry
		size = 0
		for _, p := range pieces {
			size += int64(len(p))
		}
		return size, nil
	}
	size = c.reqBody.Length()
	c.msg.Source, c.msg.Chunked = c.reqBody, size < 0
	return size, nil
}

// startForwarding passes on the rest of a streamed body in a goroutine, concurrently with
// the attempt that reads it. forwardDone is closed when it has ended.
func (c *call) startForwarding() {
	if !c.isBodyStreamed() {
		return
	}
	c.forwardDone = make(chan struct{})
	go func() { // Transport.Close does not wait for this goroutine: a body whose Close does not unblock Read would hang it
		defer close(c.forwardDone)
		defer c.closeRequestBody()
		c.forwardErr = c.reqBody.Forward()
	}()
}

// discardBody releases the body. Attempts that still read it fail.
func (c *call) discardBody() {
	if c.reqBody != nil {
		c.reqBody.Abort()
		c.reqBody.Drop()
	}
	if c.isBodyStreamed() { // unblocks a caller that waits for its body to be read
		c.closeRequestBody()
	}
}

func (c *call) closeRequestBody() { c.closeOnce.Do(func() { closeBody(c.r) }) }

// isBodyStreamed reports whether the body is streamed to one server, or to the daemon, and
// so can't be sent again.
func (c *call) isBodyStreamed() bool { return c.reqBody != nil && c.reqBody.IsStreamed() }
