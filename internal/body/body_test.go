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

	"chalkrack/internal/bodypolicy"
	"chalkrack/internal/spool"
	"chalkrack/internal/standin"
)

const testTimeout = 20 * time.Second

func testLimits() bodypolicy.Limits {
	return bodypolicy.Limits{Memory: 4 << 20, MemoryMost: 1 << 20, MoveLeast: maxPieceBytes, Disk: 64 << 20, FileMost: 8 << 20, Files: 8, Streams: 4,
		Shares: []float64{0.3, 0.3}, Lend: 0.5, High: 0.8, Low: 0.5}
}

// newTestStore creates a Store on a simulated disk, or without files if disk is nil.
func newTestStore(tb testing.TB, disk *standin.Disk, lim bodypolicy.Limits, wait time.Duration) *Store {
	tb.Helper()
	cfg := Config{Limits: lim, Classes: []string{"a", "b"}, Window: maxPieceBytes,
		Disk: bodypolicy.DiskLimits{SlowAfter: testTimeout, MinTrialDelay: 5 * time.Millisecond, MaxTrialDelay: 20 * time.Millisecond, RequiredTrials: 1}}
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

func randomBytes(seed uint64, n int) []byte {
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

// randomSizeReader is a reader that returns pieces of random sizes.
type randomSizeReader struct {
	r   io.Reader
	rng *rand.Rand
}

func (s *randomSizeReader) Read(p []byte) (int, error) { return s.r.Read(p[:1+s.rng.IntN(len(p))]) }

func incoming(class int, p []byte, announced bool) Incoming {
	in := Incoming{Class: class, Length: -1, Body: &randomSizeReader{bytes.NewReader(p), rand.New(rand.NewPCG(uint64(len(p)), 3))}}
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

func eventually(tb testing.TB, failure string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal(failure)
		}
	}
}

func hasNoBookings(s *Store) bool {
	v := s.View()
	return v.Memory.Now+v.Disk.Now+v.Files.Now+v.Streams.Now == 0
}

// A body of each size is kept in the expected place, whether its length is announced or not,
// and can be read unchanged, more than once if it is kept.
func TestBodyPlacesBySize(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	disk := standin.NewDisk()
	t.Run("all", func(t *testing.T) {
		s := newTestStore(t, disk, testLimits(), testTimeout)
		for _, announced := range []bool{true, false} {
			for size, want := range map[int]bodypolicy.Place{0: bodypolicy.Memory, 1: bodypolicy.Memory, 300: bodypolicy.Memory, 70 << 10: bodypolicy.Memory, 1 << 20: bodypolicy.Memory,
				1<<20 + 1: bodypolicy.File, 5 << 20: bodypolicy.File, 8 << 20: bodypolicy.File, 8<<20 + 1: bodypolicy.NotKept, 20 << 20: bodypolicy.NotKept} {
				p := randomBytes(uint64(size), size)
				b, err := s.Receive(incoming(0, p, announced))
				if err != nil {
					t.Fatal(err)
				}
				forwarded := make(chan error, 1)
				if b.IsStreamed() {
					go func() { forwarded <- b.Forward() }()
				}
				if !announced && (size == 1<<20 || size == 8<<20) {
					want++ // without a length, more is booked before the end is seen
				}
				if got := b.Place(); got != want {
					t.Errorf("%d bytes, announced %v: kept in %v, want %v", size, announced, got, want)
				}
				if got, err := readAll(b); err != nil || sha256.Sum256(got) != sha256.Sum256(p) {
					t.Errorf("%d bytes: first reading got %d, error %v", size, len(got), err)
				}
				if got, err := readAll(b); want != bodypolicy.NotKept && (err != nil || !bytes.Equal(got, p)) {
					t.Errorf("%d bytes: second reading got %d, error %v", size, len(got), err)
				} else if want == bodypolicy.NotKept && !errors.Is(err, ErrOnce) {
					t.Errorf("%d bytes, not kept: second reading got error %v, want ErrOnce", size, err)
				}
				if want == bodypolicy.NotKept {
					if err := <-forwarded; err != nil {
						t.Error(err)
					}
				}
				b.Drop()
				if !hasNoBookings(s) {
					t.Fatalf("%d bytes, announced %v: still booked after Drop: %+v", size, announced, s.View())
				}
			}
		}
		eventually(t, "files stay open", func() bool { return disk.OpenFiles() == 0 })
	})
}

// Two attempts read one body at different speeds while it is moved to a file. The fast one
// finishes and the body is dropped: the slow one ends, the file is closed once, and nothing
// stays booked.
func TestMoveToFileWhileTwoAttemptsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		lim := testLimits()
		lim.High, lim.Low = 0.4, 0.1
		s := newTestStore(t, disk, lim, testTimeout)
		p := randomBytes(1, 1<<20)
		disk.Hang() // the move starts and blocks
		first, err := s.Receive(incoming(0, p, true))
		if err != nil {
			t.Fatal(err)
		}
		second, err := s.Receive(incoming(1, randomBytes(2, 1<<20), true))
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "no body is moved", func() bool { return disk.BlockedCalls() > 0 })
		b := first // either may be selected; both attempts below read the one that is moved
		s.mu.Lock()
		if !first.record.IsMoving() {
			b, p = second, randomBytes(2, 1<<20)
		}
		s.mu.Unlock()
		slow, err := b.Open()
		if err != nil {
			t.Fatal(err)
		}
		begin, err := slow.Next()
		if err != nil || !bytes.Equal(begin, p[:len(begin)]) {
			t.Fatal("first piece of the slow reading: wrong content or error", err)
		}
		disk.Resume()
		eventually(t, "the body is not moved to its file", func() bool { return b.Place() == bodypolicy.File })
		if v := s.View(); v.Memory.Now < 1<<20 {
			t.Errorf("memory %+v: want the memory of an open reading still booked", v.Memory)
		}
		got, err := readAll(b) // the fast attempt reads the file
		if err != nil || !bytes.Equal(got, p) {
			t.Fatalf("fast reading: %d bytes, error %v", len(got), err)
		}
		n := len(got)
		for at := len(begin); at < n; { // the slow attempt continues from memory
			q, err := slow.Next()
			if err != nil || !bytes.Equal(q, p[at:at+len(q)]) {
				t.Fatalf("slow reading at %d: wrong content or error %v", at, err)
			}
			if at += len(q); at > n/2 {
				break
			}
		}
		b.Drop() // the fast attempt was answered
		if _, err := readAll(b); err == nil {
			t.Error("a dropped body can be read")
		}
		slow.Close()
		slow.Close()
		if _, err := slow.Next(); err == nil {
			t.Error("a closed reading returns data")
		}
		first.Drop()
		second.Drop()
		eventually(t, "a descriptor is left", func() bool { return disk.OpenFiles() == 0 })
		eventually(t, "something is held", func() bool { return hasNoBookings(s) })
	})
}

// When the disk fills up, fails or hangs while a body is received, the body continues in memory
// if it fits, or else becomes not kept without losing data, or else ends with ErrNoRoom.
func TestDiskFailsWhileReceiving(t *testing.T) {
	for name, fail := range map[string]func(*standin.Disk){
		"full at once":   func(d *standin.Disk) { d.SetFreeBytes(0) },
		"full at byte N": func(d *standin.Disk) { d.SetFreeBytes(1<<20 + 12345) },
		"no descriptors": func(d *standin.Disk) { d.FailCreates(syscall.EMFILE) },
		"hangs":          func(d *standin.Disk) { d.Hang() },
		"short writes":   func(d *standin.Disk) { d.SetShortWrites(true) },
	} {
		for where, c := range map[string]struct {
			memory  int64 // memory limit
			streams int64
			place   bodypolicy.Place
		}{
			"memory":  {4 << 20, 1, bodypolicy.File}, // the place stays File, though the rest is held in memory
			"nowhere": {2<<20 + 100, 1, bodypolicy.NotKept},
			"no room": {2<<20 + 100, 0, bodypolicy.Refused},
		} {
			t.Run(name+"/"+where, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					disk := standin.NewDisk()
					lim := testLimits()
					lim.Memory, lim.Streams, lim.Shares = c.memory, c.streams, []float64{0, 0}
					lim.High, lim.Low = 1, 0.9
					s := newTestStore(t, disk, lim, 50*time.Millisecond)
					fail(disk)
					p := randomBytes(9, 3<<20+777)
					b, err := s.Receive(incoming(0, p, true))
					if c.place == bodypolicy.Refused {
						if !errors.Is(err, ErrNoRoom) {
							t.Fatalf("error %v, want ErrNoRoom", err)
						}
					} else {
						if err != nil {
							t.Fatal(err)
						}
						if b.IsStreamed() {
							go b.Forward()
						}
						if got, err := readAll(b); err != nil || !bytes.Equal(got, p) {
							t.Fatalf("place %v: read %d of %d, error %v", b.Place(), len(got), len(p), err)
						}
						if got := b.Place(); got != c.place {
							t.Errorf("place %v, want %v", got, c.place)
						}
						b.Drop()
					}
					if v := s.View(); v.DiskState == "good" {
						t.Error("the disk is good after a failed write")
					}
					disk.Resume()
					disk.SetFreeBytes(-1)
					disk.FailCreates(nil)
					disk.SetShortWrites(false)
					eventually(t, "a descriptor is left", func() bool { return disk.OpenFiles() == 0 })
					eventually(t, "something is held", func() bool { return hasNoBookings(s) })
					eventually(t, "the disk does not become good again", func() bool { return s.View().DiskState == "good" })
				})
			})
		}
	}
}

// A kept piece that cannot be read, or that was altered, is never returned.
func TestUnreadablePieceIsNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := newTestStore(t, disk, testLimits(), testTimeout)
		p := randomBytes(4, 2<<20)
		b, err := s.Receive(incoming(0, p, true))
		if err != nil {
			t.Fatal(err)
		}
		disk.FailReads(syscall.EIO)
		if got, err := readAll(b); !errors.Is(err, ErrLost) || len(got) != 0 {
			t.Errorf("EIO: %d bytes, error %v, want none and ErrLost", len(got), err)
		}
		disk.FailReads(nil)
		disk.Corrupt(func(at int64, q []byte) {
			if at > 1<<20 {
				q[0] ^= 1
			}
		})
		if got, err := readAll(b); !errors.Is(err, ErrLost) || !bytes.Equal(got, p[:len(got)]) {
			t.Errorf("altered: %d bytes, error %v, want ErrLost after unaltered bytes", len(got), err)
		}
		b.Drop()
	})
}

// When the client aborts at any point, whether the body is kept or not, its error is returned,
// an open reading ends with ErrBroken before the last byte, and nothing stays booked.
func TestClientAbortsWhileReceiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := newTestStore(t, disk, testLimits(), testTimeout)
		cut := errors.New("cut")
		for _, size := range []int{1 << 10, 900 << 10, 3 << 20, 12 << 20} {
			p := randomBytes(5, size)
			for _, at := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, size / 2, size - 1} {
				for _, announced := range []bool{true, false} {
					if at >= size {
						continue
					}
					in := incoming(0, p[:at], announced)
					in.Body = io.MultiReader(in.Body, failingReader{cut})
					if announced {
						in.Length = int64(size)
					}
					b, err := s.Receive(in)
					if err == nil {
						var got []byte
						var wg sync.WaitGroup
						wg.Go(func() { got, err = readAll(b) })
						ferr := b.Forward()
						b.Abort()
						wg.Wait()
						if !errors.Is(err, ErrBroken) || len(got) > at {
							t.Errorf("aborted at %d of %d: reading got %d bytes, error %v, want ErrBroken", at, size, len(got), err)
						}
						b.Drop()
						err = ferr
					}
					if !errors.Is(err, cut) {
						t.Errorf("aborted at %d of %d, announced %v: error %v, want that of the client", at, size, announced, err)
					}
				}
			}
		}
		if !hasNoBookings(s) {
			t.Errorf("held: %+v", s.View())
		}
		eventually(t, "files stay open", func() bool { return disk.OpenFiles() == 0 })
	})
}

// failingReader is a reader that returns an error.
type failingReader struct{ err error }

func (b failingReader) Read([]byte) (int, error) { return 0, b.err }

// Backpressure: when the server does not read, receiving stops at the window; a reading that
// waits for the client ends when it is closed.
func TestStreamedBodyBackpressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStore(t, nil, testLimits(), testTimeout)
		sent := make(chan int, 1000)
		in := incoming(0, nil, false)
		in.Length = 100 << 20
		in.Body = readFunc(func(p []byte) (int, error) { sent <- len(p); return len(p), nil })
		b, err := s.Receive(in)
		if err != nil || !b.IsStreamed() {
			t.Fatalf("%v", err)
		}
		done := make(chan error, 1)
		go func() { done <- b.Forward() }()
		synctest.Wait()
		total := 0
		for len(sent) > 0 {
			total += <-sent
		}
		if total > 3*maxPieceBytes {
			t.Errorf("%d bytes were received for a server that reads nothing, want at most three pieces", total)
		}
		b.Drop()
		if err := <-done; err != nil {
			t.Errorf("Forward of a dropped body: %v, want nil", err)
		}
		quiet, err := s.Receive(Incoming{Length: 100 << 20, Body: io.MultiReader(bytes.NewReader([]byte("abc")), blockingReader{})})
		if err != nil {
			t.Fatal(err)
		}
		r, err := quiet.Open()
		if err != nil {
			t.Fatal(err)
		}
		if p, err := r.Next(); err != nil || string(p) != "abc" {
			t.Fatalf("got %q, error %v, want \"abc\"", p, err)
		}
		ended := make(chan error, 1)
		go func() { _, err := r.Next(); ended <- err }()
		synctest.Wait()
		r.Close()
		if err := <-ended; err == nil {
			t.Error("Next of a closed reading returned no error")
		}
		quiet.Drop()
		if !hasNoBookings(s) {
			t.Errorf("held: %+v", s.View())
		}
	})
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// blockingReader is a reader that blocks forever.
type blockingReader struct{}

func (blockingReader) Read([]byte) (int, error) { select {} }

// With many concurrent bodies and a disk with intermittent faults, every complete reading returns
// what was sent, and nothing stays booked at the end.
func TestConcurrentBodiesWithDiskFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := newTestStore(t, disk, testLimits(), 100*time.Millisecond)
		trouble := func(rng *rand.Rand) {
			switch rng.IntN(6) {
			case 0:
				disk.SetFreeBytes(int64(rng.IntN(4 << 20)))
			case 1:
				disk.FailCreates(syscall.EMFILE)
			case 2:
				disk.Hang()
			default:
				disk.SetFreeBytes(-1)
				disk.FailCreates(nil)
				disk.Resume()
			}
		}
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(g), 8))
				for n := range 12 {
					trouble(rng)
					p := randomBytes(uint64(100*g+n), rng.IntN(3<<20)+rng.IntN(1<<10))
					b, err := s.Receive(incoming(g%2, p, rng.IntN(2) == 0))
					if errors.Is(err, ErrNoRoom) {
						continue
					}
					if err != nil {
						t.Error(err)
						continue
					}
					if b.IsStreamed() {
						go b.Forward()
					}
					got, err := readAll(b)
					if err != nil && !errors.Is(err, ErrLost) {
						t.Error(err)
					}
					if err == nil && !bytes.Equal(got, p) {
						t.Errorf("body of %d bytes (place %v): read %d bytes that differ", len(p), b.Place(), len(got))
					}
					b.Drop()
				}
			})
		}
		wg.Wait()
		disk.SetFreeBytes(-1)
		disk.FailCreates(nil)
		disk.Resume()
		eventually(t, "something is held", func() bool { return hasNoBookings(s) })
		eventually(t, "a descriptor is left", func() bool { return disk.OpenFiles() == 0 })
	})
}
