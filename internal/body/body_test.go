package body

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"chalkrack/internal/keep"
	"chalkrack/internal/spool"
	"chalkrack/internal/standin"
)

const patience = 20 * time.Second

func limits() keep.Limits {
	return keep.Limits{Memory: 4 << 20, MemoryMost: 1 << 20, MoveLeast: pieceMost, Disk: 64 << 20, FileMost: 8 << 20, Files: 8, Streams: 4,
		Shares: []float64{0.3, 0.3}, Lend: 0.5, High: 0.8, Low: 0.5}
}

// store starts one over a disk; nil: without files.
func store(tb testing.TB, disk *standin.Disk, lim keep.Limits, wait time.Duration) *Store {
	tb.Helper()
	cfg := Config{Limits: lim, Classes: []string{"a", "b"}, Window: pieceMost,
		Disk: keep.DiskLimits{SlowAfter: patience, RestLeast: 5 * time.Millisecond, RestMost: 20 * time.Millisecond, Proof: 1}}
	if disk != nil {
		s, err := spool.New(spool.Config{Folder: tb.TempDir(), Workers: 2, Queue: 16, Classes: 2, Wait: wait, FS: disk})
		if err != nil {
			tb.Fatal(err)
		}
		cfg.Spool = s
	}
	s, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(s.Close)
	return s
}

func random(seed uint64, n int) []byte {
	p := make([]byte, n)
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := 0; i+8 <= n; i += 8 {
		v := rng.Uint64()
		for j := range 8 {
			p[i+j] = byte(v >> (8 * j))
		}
	}
	return p
}

// slices reads in pieces of odd sizes.
type slices struct {
	r   io.Reader
	rng *rand.Rand
}

func (s *slices) Read(p []byte) (int, error) { return s.r.Read(p[:1+s.rng.IntN(len(p))]) }

func incoming(class int, p []byte, announced bool) Incoming {
	in := Incoming{Class: class, Length: -1, Body: &slices{bytes.NewReader(p), rand.New(rand.NewPCG(uint64(len(p)), 3))}}
	if announced {
		in.Length = int64(len(p))
	}
	return in
}

func readAll(b *Body) ([]byte, error) {
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	var all []byte
	for {
		p, err := r.Next()
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, p...)
	}
}

func eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal(what)
		}
	}
}

func empty(s *Store) bool {
	v := s.View()
	return v.Memory.Now+v.Disk.Now+v.Files.Now+v.Streams.Now == 0
}

// Each size finds its place, by its announced or its growing length, and comes back as
// it came, more than once where it is kept.
func TestPlaces(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	disk := standin.NewDisk()
	t.Run("all", func(t *testing.T) {
		s := store(t, disk, limits(), patience)
		for _, announced := range []bool{true, false} {
			for size, want := range map[int]keep.Place{0: keep.Memory, 1: keep.Memory, 300: keep.Memory, 70 << 10: keep.Memory, 1 << 20: keep.Memory,
				1<<20 + 1: keep.File, 5 << 20: keep.File, 8 << 20: keep.File, 8<<20 + 1: keep.Nowhere, 20 << 20: keep.Nowhere} {
				p := random(uint64(size), size)
				b, err := s.Receive(incoming(0, p, announced))
				if err != nil {
					t.Fatal(err)
				}
				forwarded := make(chan error, 1)
				if b.Coming() {
					go func() { forwarded <- b.Forward() }()
				}
				if !announced && (size == 1<<20 || size == 8<<20) {
					want++ // it learns of the end after asking for room once more
				}
				if got := b.Place(); got != want {
					t.Errorf("%d bytes, announced %v: %v, want %v", size, announced, got, want)
				}
				if got, err := readAll(b); err != nil || sha256.Sum256(got) != sha256.Sum256(p) {
					t.Errorf("%d bytes: read %d, %v", size, len(got), err)
				}
				if got, err := readAll(b); want != keep.Nowhere && (err != nil || !bytes.Equal(got, p)) {
					t.Errorf("%d bytes, again: read %d, %v", size, len(got), err)
				} else if want == keep.Nowhere && !errors.Is(err, ErrOnce) {
					t.Errorf("%d bytes that are not kept were read again: %v", size, err)
				}
				if want == keep.Nowhere {
					if err := <-forwarded; err != nil {
						t.Error(err)
					}
				}
				b.Drop()
				if !empty(s) {
					t.Fatalf("%d bytes, announced %v: held after the end: %+v", size, announced, s.View())
				}
			}
		}
		eventually(t, "files stay open", func() bool { return disk.Open() == 0 })
	})
}

// Two attempts read one body at different speeds while it moves to a file; the fast one
// wins and the body ends: the slow one ends, the file goes once, nothing is left.
func TestMovedWhileTwoRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		lim := limits()
		lim.High, lim.Low = 0.4, 0.1
		s := store(t, disk, lim, patience)
		p := random(1, 1<<20)
		disk.Hang() // the move begins and waits
		first, err := s.Receive(incoming(0, p, true))
		if err != nil {
			t.Fatal(err)
		}
		second, err := s.Receive(incoming(1, random(2, 1<<20), true))
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "nothing moves", func() bool { return disk.Hanging() > 0 })
		b := first // both may be next; the one that moves is read below, by both
		s.mu.Lock()
		if !first.kept.IsMoving() {
			b, p = second, random(2, 1<<20)
		}
		s.mu.Unlock()
		slow, err := b.Open()
		if err != nil {
			t.Fatal(err)
		}
		begin, err := slow.Next()
		if err != nil || !bytes.Equal(begin, p[:len(begin)]) {
			t.Fatal("the slow reading's first piece", err)
		}
		disk.Resume()
		eventually(t, "it does not move", func() bool { return b.Place() == keep.File })
		if v := s.View(); v.Memory.Now < 1<<20 {
			t.Errorf("memory that a reading holds counts as free: %+v", v.Memory)
		}
		got, err := readAll(b) // the fast one, from the file
		if err != nil || !bytes.Equal(got, p) {
			t.Fatalf("the fast reading: %d bytes, %v", len(got), err)
		}
		n := len(got)
		for at := len(begin); at < n; { // the slow one goes on from memory
			q, err := slow.Next()
			if err != nil || !bytes.Equal(q, p[at:at+len(q)]) {
				t.Fatalf("the slow reading at %d: %v", at, err)
			}
			if at += len(q); at > n/2 {
				break
			}
		}
		b.Drop() // the winner's answer
		if _, err := readAll(b); err == nil {
			t.Error("a body that has ended can be read")
		}
		slow.Close()
		slow.Close()
		if _, err := slow.Next(); err == nil {
			t.Error("the loser's reading goes on")
		}
		first.Drop()
		second.Drop()
		eventually(t, "a descriptor is left", func() bool { return disk.Open() == 0 })
		eventually(t, "something is held", func() bool { return empty(s) })
	})
}

// A disk that fills up, breaks or hangs under a body: it goes on in memory where there
// is room, else not kept and nothing of it lost, else it ends with a clear error.
func TestDiskFailsUnderABody(t *testing.T) {
	for name, fail := range map[string]func(*standin.Disk){
		"full at once":   func(d *standin.Disk) { d.Room(0) },
		"full at byte N": func(d *standin.Disk) { d.Room(1<<20 + 12345) },
		"no descriptors": func(d *standin.Disk) { d.NoFiles(syscall.EMFILE) },
		"hangs":          func(d *standin.Disk) { d.Hang() },
		"short writes":   func(d *standin.Disk) { d.ShortWrites(true) },
	} {
		for where, c := range map[string]struct {
			memory  int64 // left for it
			streams int64
			place   keep.Place
		}{
			"memory":  {4 << 20, 1, keep.File}, // its place in name: the rest is held in memory
			"nowhere": {2<<20 + 100, 1, keep.Nowhere},
			"no room": {2<<20 + 100, 0, keep.Refused},
		} {
			t.Run(name+"/"+where, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					disk := standin.NewDisk()
					lim := limits()
					lim.Memory, lim.Streams, lim.Shares = c.memory, c.streams, []float64{0, 0}
					lim.High, lim.Low = 1, 0.9
					s := store(t, disk, lim, 50*time.Millisecond)
					fail(disk)
					p := random(9, 3<<20+777)
					b, err := s.Receive(incoming(0, p, true))
					if c.place == keep.Refused {
						if !errors.Is(err, ErrNoRoom) {
							t.Fatalf("%v, want no room", err)
						}
					} else {
						if err != nil {
							t.Fatal(err)
						}
						if b.Coming() {
							go b.Forward()
						}
						if got, err := readAll(b); err != nil || !bytes.Equal(got, p) {
							t.Fatalf("%v: read %d of %d, %v", b.Place(), len(got), len(p), err)
						}
						if got := b.Place(); got != c.place {
							t.Errorf("%v, want %v", got, c.place)
						}
						b.Drop()
					}
					if v := s.View(); v.DiskState == "good" {
						t.Error("the disk counts as good")
					}
					disk.Resume()
					disk.Room(-1)
					disk.NoFiles(nil)
					disk.ShortWrites(false)
					eventually(t, "a descriptor is left", func() bool { return disk.Open() == 0 })
					eventually(t, "something is held", func() bool { return empty(s) })
					eventually(t, "the disk is not tried again", func() bool { return s.View().DiskState == "good" })
				})
			})
		}
	}
}

// A kept piece that can't be read, or is not what was written, is never sent.
func TestUnreadablePieceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := store(t, disk, limits(), patience)
		p := random(4, 2<<20)
		b, err := s.Receive(incoming(0, p, true))
		if err != nil {
			t.Fatal(err)
		}
		disk.NoReads(syscall.EIO)
		if got, err := readAll(b); !errors.Is(err, ErrLost) || len(got) != 0 {
			t.Errorf("EIO: %d bytes, %v", len(got), err)
		}
		disk.NoReads(nil)
		disk.Spoil(func(at int64, q []byte) {
			if at > 1<<20 {
				q[0] ^= 1
			}
		})
		if got, err := readAll(b); !errors.Is(err, ErrLost) || !bytes.Equal(got, p[:len(got)]) {
			t.Errorf("altered: %d bytes, %v", len(got), err)
		}
		b.Drop()
	})
}

// The client breaks off at many points, kept or not: its error comes through, a reading
// under way ends with an error and without the last byte, and nothing is held.
func TestSenderBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := store(t, disk, limits(), patience)
		cut := errors.New("cut")
		for _, size := range []int{1 << 10, 900 << 10, 3 << 20, 12 << 20} {
			p := random(5, size)
			for _, at := range []int{0, 1, firstPiece - 1, firstPiece, size / 2, size - 1} {
				for _, announced := range []bool{true, false} {
					if at >= size {
						continue
					}
					in := incoming(0, p[:at], announced)
					in.Body = io.MultiReader(in.Body, broken{cut})
					if announced {
						in.Length = int64(size)
					}
					b, err := s.Receive(in)
					if err == nil {
						var got []byte
						var wg sync.WaitGroup
						wg.Go(func() { got, err = readAll(b) })
						ferr := b.Forward()
						b.Break()
						wg.Wait()
						if !errors.Is(err, ErrBroken) || len(got) > at {
							t.Errorf("%d of %d: a reading got %d, %v", at, size, len(got), err)
						}
						b.Drop()
						err = ferr
					}
					if !errors.Is(err, cut) {
						t.Errorf("%d of %d, announced %v: %v", at, size, announced, err)
					}
				}
			}
		}
		if !empty(s) {
			t.Errorf("held: %+v", s.View())
		}
		eventually(t, "files stay open", func() bool { return disk.Open() == 0 })
	})
}

type broken struct{ err error }

func (b broken) Read([]byte) (int, error) { return 0, b.err }

// Back-pressure: a sender whose server does not read is stopped at the window, and a
// reading that waits for a sender ends with its Close.
func TestUnkeptBodyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store(t, nil, limits(), patience)
		sent := make(chan int, 1000)
		in := incoming(0, nil, false)
		in.Length = 100 << 20
		in.Body = readFunc(func(p []byte) (int, error) { sent <- len(p); return len(p), nil })
		b, err := s.Receive(in)
		if err != nil || !b.Coming() {
			t.Fatalf("%v", err)
		}
		done := make(chan error, 1)
		go func() { done <- b.Forward() }()
		synctest.Wait()
		total := 0
		for len(sent) > 0 {
			total += <-sent
		}
		if total > 3*pieceMost {
			t.Errorf("%d bytes were taken for a server that reads nothing", total)
		}
		b.Drop()
		if err := <-done; err != nil {
			t.Errorf("Forward of a body that nobody wants: %v", err)
		}
		quiet, err := s.Receive(Incoming{Length: 100 << 20, Body: io.MultiReader(bytes.NewReader([]byte("abc")), silence{})})
		if err != nil {
			t.Fatal(err)
		}
		r, err := quiet.Open()
		if err != nil {
			t.Fatal(err)
		}
		if p, err := r.Next(); err != nil || string(p) != "abc" {
			t.Fatalf("%q, %v", p, err)
		}
		ended := make(chan error, 1)
		go func() { _, err := r.Next(); ended <- err }()
		synctest.Wait()
		r.Close()
		if err := <-ended; err == nil {
			t.Error("a closed reading goes on")
		}
		quiet.Drop()
		if !empty(s) {
			t.Errorf("held: %+v", s.View())
		}
	})
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

type silence struct{}

func (silence) Read([]byte) (int, error) { select {} }

// Many bodies at once, over a disk that fails now and then: what is read whole is what
// was sent, and in the end nothing is held.
func TestManyBodiesOverABadDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := store(t, disk, limits(), 100*time.Millisecond)
		trouble := func(rng *rand.Rand) {
			switch rng.IntN(6) {
			case 0:
				disk.Room(int64(rng.IntN(4 << 20)))
			case 1:
				disk.NoFiles(syscall.EMFILE)
			case 2:
				disk.Hang()
			default:
				disk.Room(-1)
				disk.NoFiles(nil)
				disk.Resume()
			}
		}
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(g), 8))
				for n := range 12 {
					trouble(rng)
					p := random(uint64(100*g+n), rng.IntN(3<<20)+rng.IntN(1<<10))
					b, err := s.Receive(incoming(g%2, p, rng.IntN(2) == 0))
					if errors.Is(err, ErrNoRoom) {
						continue
					}
					if err != nil {
						t.Error(err)
						continue
					}
					if b.Coming() {
						go b.Forward()
					}
					got, err := readAll(b)
					if err != nil && !errors.Is(err, ErrLost) {
						t.Error(err)
					}
					if err == nil && !bytes.Equal(got, p) {
						t.Errorf("%d bytes (%v) came back as %d others", len(p), b.Place(), len(got))
					}
					b.Drop()
				}
			})
		}
		wg.Wait()
		disk.Room(-1)
		disk.NoFiles(nil)
		disk.Resume()
		eventually(t, "something is held", func() bool { return empty(s) })
		eventually(t, "a descriptor is left", func() bool { return disk.Open() == 0 })
	})
}
