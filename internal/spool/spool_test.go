package spool

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"chalkrack/internal/standin"
)

const patience = 20 * time.Second

func start(tb testing.TB, cfg Config) *Spool {
	tb.Helper()
	if cfg.Folder == "" {
		cfg.Folder = tb.TempDir()
	}
	if cfg.Wait == 0 {
		cfg.Wait = patience
	}
	cfg.Workers, cfg.Queue, cfg.Classes = max(2, cfg.Workers), max(8, cfg.Queue), 2
	s, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(s.Close)
	return s
}

func pieces(seed uint64, compressible bool, sizes ...int) (all [][]byte) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, n := range sizes {
		p := make([]byte, n)
		for i := range p {
			if p[i] = byte(rng.Uint32()); compressible {
				p[i] = "3174050290"[p[i]%10]
			}
		}
		all = append(all, p)
	}
	return all
}

func fill(t *testing.T, f *File, all [][]byte) {
	t.Helper()
	for _, p := range all {
		if err := f.Append(p); err != nil {
			t.Fatal(err)
		}
	}
}

func readAll(f *File, all [][]byte) error {
	at := int64(0)
	for n, want := range all {
		got, err := f.ReadAt(make([]byte, PieceMost), n, at)
		if err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			return errors.New("another text")
		}
		at = f.Next(n, at)
	}
	return nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// What is written is read again, by any number of readers, in all forms; the descriptor
// goes with the file.
func TestPiecesComeBack(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	for name, cfg := range map[string]Config{"sealed": {}, "compressed": {Compress: true}, "plain": {Plain: true}} {
		for _, compressible := range []bool{true, false} {
			func() {
				cfg.Folder = t.TempDir()
				s, err := New(Config{Folder: cfg.Folder, Compress: cfg.Compress, Plain: cfg.Plain, Workers: 2, Queue: 4, Classes: 1, Wait: patience})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				f := s.File(0)
				all := pieces(7, compressible, 1, PieceMost, 5000, PieceMost, 17)
				fill(t, f, all)
				for range 2 {
					if err := readAll(f, all); err != nil {
						t.Errorf("%s: %v", name, err)
					}
				}
				if n := s.Open(); n != 1 {
					t.Errorf("%s: %d files open", name, n)
				}
				if small := f.end < 2*PieceMost; small != (cfg.Compress && compressible) {
					t.Errorf("%s, compressible %v: %d bytes", name, compressible, f.end)
				}
				f.Close()
				f.Close()
				eventually(t, "the file stays open", func() bool { return s.Open() == 0 })
				if err := f.Append(all[0]); !errors.Is(err, ErrClosed) {
					t.Errorf("%s: append after Close: %v", name, err)
				}
			}()
		}
	}
}

// A piece that was cut, swapped with another, altered at any place, or written by
// another process's key is not read as good, and the text does not lie in the file.
func TestSpoiltPiecesAreNotRead(t *testing.T) {
	disk := standin.NewDisk()
	for name, cfg := range map[string]Config{"sealed": {FS: disk}, "compressed": {FS: disk, Compress: true}} {
		s := start(t, cfg)
		all := pieces(3, true, 4000, 4000)
		a, b := s.File(0), s.File(0)
		fill(t, a, all)
		fill(t, b, all)
		rng := rand.New(rand.NewPCG(11, 1))
		for range 200 {
			where, bit := rng.IntN(1<<20), byte(1)<<rng.IntN(8)
			disk.Spoil(func(_ int64, p []byte) { p[where%len(p)] ^= bit })
			if err := readAll(a, all); !errors.Is(err, ErrSpoilt) {
				t.Fatalf("%s: altered: %v", name, err)
			}
		}
		raw, other := a.h.(interface {
			ReadAt([]byte, int64) (int, error)
		}), b.h
		disk.Spoil(func(at int64, p []byte) {
			if bytes.Contains(p, all[0][:32]) {
				t.Error("the text lies open in the file")
			}
		})
		if err := readAll(a, all); err != nil {
			t.Fatal(err)
		}
		disk.Spoil(nil)
		// The piece of another file, and another piece of its own, in its place.
		buf := make([]byte, a.sizes[0])
		a.h, _ = other, raw
		if err := readAll(a, all); !errors.Is(err, ErrSpoilt) {
			t.Errorf("%s: swapped with another file's: %v", name, err)
		}
		a.h = raw.(Handle)
		if a.sizes[0] == a.sizes[1] {
			raw.ReadAt(buf, int64(a.sizes[0]))
			a.h.WriteAt(buf, 0)
			if _, err := a.ReadAt(make([]byte, PieceMost), 0, 0); !errors.Is(err, ErrSpoilt) {
				t.Errorf("%s: swapped with its neighbour: %v", name, err)
			}
		}
		b.h.(interface{ Close() error }).Close() // and one that has gone
		if err := readAll(b, all); err == nil {
			t.Errorf("%s: read from a closed file", name)
		}
		b.h = nil
		a.Close()
		b.Close()
	}
	s := start(t, Config{FS: disk})
	f := s.File(0)
	fill(t, f, pieces(1, true, 100))
	f.end = 0
	f.sizes[0] += 50 // more than there is: it was cut
	if _, err := f.ReadAt(make([]byte, PieceMost), 0, 0); !errors.Is(err, ErrSpoilt) {
		t.Errorf("cut: %v", err)
	}
	f.sizes[0] -= 50
	f.Close()
}

// What the disk says comes through by its kind, and what was written before is good.
func TestFaultsOfTheDisk(t *testing.T) {
	for name, c := range map[string]struct {
		set    func(*standin.Disk)
		noRoom bool
	}{
		"no room":         {func(d *standin.Disk) { d.Room(100) }, true},
		"no descriptors":  {func(d *standin.Disk) { d.NoFiles(syscall.EMFILE) }, true},
		"short write":     {func(d *standin.Disk) { d.ShortWrites(true) }, false},
		"read-only":       {func(d *standin.Disk) { d.NoFiles(syscall.EROFS) }, false},
		"quota":           {func(d *standin.Disk) { d.NoFiles(syscall.EDQUOT) }, true},
		"input or output": {func(d *standin.Disk) { d.NoFiles(syscall.EIO) }, false},
	} {
		disk := standin.NewDisk()
		s := start(t, Config{FS: disk})
		good := s.File(0)
		all := pieces(5, false, 3000)
		fill(t, good, all)
		c.set(disk)
		bad := s.File(0)
		err := bad.Append(all[0])
		if err == nil || NoRoom(err) != c.noRoom {
			t.Errorf("%s: %v", name, err)
		}
		if err := readAll(good, all); err != nil {
			t.Errorf("%s: what was there before: %v", name, err)
		}
		if err := s.Try(); err == nil {
			t.Errorf("%s: a trial was good", name)
		}
		bad.Close()
		good.Close()
		eventually(t, name+": a file stays open", func() bool { return disk.Open() == 0 })
	}
	if _, err := os.Stat("/dev/full"); err == nil {
		s := start(t, Config{FS: devFull{}})
		f := s.File(0)
		if err := f.Append(make([]byte, 10)); !errors.Is(err, syscall.ENOSPC) || !NoRoom(err) {
			t.Errorf("/dev/full: %v", err)
		}
		f.Close()
	}
}

type devFull struct{}

func (devFull) Create(string) (Handle, error) { return os.OpenFile("/dev/full", os.O_RDWR, 0) }

// A call that hangs holds one worker: others' go on. A file whose call was given up
// takes no more, and its descriptor goes when the call ends.
func TestHungCallHoldsOneWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hung, well := standin.NewDisk(), standin.NewDisk()
		s := start(t, Config{FS: &twoDisks{first: hung, then: well}, Wait: 200 * time.Millisecond, Workers: 2})
		hung.Hang()
		a := s.File(0)
		if err := a.Append(make([]byte, 10)); !errors.Is(err, ErrLate) {
			t.Fatalf("hung: %v", err)
		}
		if err := a.Append(make([]byte, 10)); !errors.Is(err, ErrClosed) {
			t.Errorf("append behind a call that was given up: %v", err)
		}
		all := pieces(1, false, 100)
		for range 20 {
			f := s.File(1)
			fill(t, f, all)
			if err := readAll(f, all); err != nil {
				t.Fatal(err)
			}
			f.Close()
		}
		a.Close()
		hung.Resume()
		eventually(t, "a descriptor is left", func() bool { return hung.Open() == 0 && well.Open() == 0 && s.Open() == 0 })
	})
}

type twoDisks struct{ first, then *standin.Disk }

func (d *twoDisks) Create(folder string) (Handle, error) {
	if d.first.Made()+d.first.Hanging() == 0 {
		return d.first.Create(folder)
	}
	return d.then.Create(folder)
}

// With all workers hung the queue of a class is bounded, and full for that class only.
func TestQueueIsBoundedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := start(t, Config{FS: disk, Wait: 50 * time.Millisecond, Workers: 2, Queue: 8})
		disk.Hang()
		defer disk.Resume()
		var files []*File
		append1 := func(class int) error {
			f := s.File(class)
			files = append(files, f)
			return f.Append(make([]byte, 10))
		}
		busy := false
		for range 2 + 8 + 1 {
			busy = errors.Is(append1(0), ErrBusy)
		}
		if !busy {
			t.Error("the queue has no bound")
		}
		if err := append1(1); !errors.Is(err, ErrLate) {
			t.Errorf("the other class: %v, want it queued", err)
		}
		disk.Resume()
		for _, f := range files {
			f.Close()
		}
		eventually(t, "a descriptor is left", func() bool { return disk.Open() == 0 })
	})
}

// A start sweeps what dead instances left and touches no living one's, whatever their
// process ids; files have no names, or lose them at once.
func TestSweepKeepsLivingNeighbours(t *testing.T) {
	if dir := os.Getenv("SPOOL_CHILD"); dir != "" { // see below
		s, err := New(Config{Folder: dir, Workers: 1, Queue: 1, Classes: 1, Wait: patience})
		if err != nil {
			t.Fatal(err)
		}
		s.File(0).Append([]byte("x"))
		os.WriteFile(filepath.Join(s.Folder(), "body-left"), []byte("x"), 0o600)
		os.Stdout.WriteString("at " + s.Folder() + "\n")
		time.Sleep(patience)
		return
	}
	dir := t.TempDir()
	neighbour := start(t, Config{Folder: dir})
	f := neighbour.File(0)
	all := pieces(1, false, 1000)
	fill(t, f, all)
	defer f.Close()

	cmd := exec.Command(os.Args[0], "-test.run=^TestSweepKeepsLivingNeighbours$")
	cmd.Env = append(os.Environ(), "SPOOL_CHILD="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line := make([]byte, 500)
	n, err := out.Read(line)
	cmd.Process.Kill() // SIGKILL with files in use
	cmd.Wait()
	left, ok := strings.CutPrefix(strings.TrimSpace(string(line[:n])), "at ")
	if err != nil || !ok {
		t.Fatalf("the child says %q, %v", line[:n], err)
	}
	if _, err := os.Stat(filepath.Join(left, "body-left")); err != nil {
		t.Fatalf("the child's folder: %v", err)
	}
	start(t, Config{Folder: dir})
	if _, err := os.Stat(left); !os.IsNotExist(err) {
		t.Errorf("the dead instance's folder is still there: %v", err)
	}
	entries, err := os.ReadDir(neighbour.Folder())
	if err != nil || len(entries) != 1 || entries[0].Name() != lockName {
		t.Errorf("the living neighbour's folder has %v, %v; want its lock only", entries, err)
	}
	if err := readAll(f, all); err != nil {
		t.Errorf("the living neighbour's file: %v", err)
	}
}

// BenchmarkFile is a body of 64 MiB written and read once, in all forms, of noise and of
// text: 'go test ./internal/spool -run ^$ -bench File'.
func BenchmarkFile(b *testing.B) {
	for _, text := range []bool{false, true} {
		piece := pieces(1, text, PieceMost)[0]
		for name, cfg := range map[string]Config{"plain": {Plain: true}, "sealed": {}, "compressed": {Compress: true}} {
			b.Run(fmt.Sprintf("%s/text=%v", name, text), func(b *testing.B) {
				s := start(b, cfg)
				b.SetBytes(64 << 20)
				p := make([]byte, PieceMost)
				for b.Loop() {
					f := s.File(0)
					for range 1024 {
						if err := f.Append(piece); err != nil {
							b.Fatal(err)
						}
					}
					at := int64(0)
					for n := range 1024 {
						if _, err := f.ReadAt(p, n, at); err != nil {
							b.Fatal(err)
						}
						at = f.Next(n, at)
					}
					f.Close()
				}
			})
		}
	}
}

// BenchmarkCoders is the memory that the coders of compression hold once used.
func BenchmarkCoders(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		s := start(b, Config{Compress: true, FS: standin.NewDisk()})
		f := s.File(0)
		if err := f.Append(pieces(1, true, PieceMost)[0]); err != nil {
			b.Fatal(err)
		}
		if _, err := f.ReadAt(make([]byte, PieceMost), 0, 0); err != nil {
			b.Fatal(err)
		}
		f.Close()
		b.ReportMetric(float64(heap()-before)/1024, "KiB")
		runtime.KeepAlive(s)
	}
}
