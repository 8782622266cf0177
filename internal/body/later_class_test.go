package body

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"chalkrack/internal/bodypolicy"
	"chalkrack/internal/standin"
)

// Guards against bodies of a class that a later configuration has added: the first one panicked under
// the store's lock, and no body was received any more. In memory, in files and streamed, such bodies
// are received and released, and so are those of the other classes beside them.
func TestBodiesOfLaterClasses(t *testing.T) {
	lending := testLimits()
	lending.Lend = 1 // the settings of long bodies: no class has a share
	lending.Shares = make([]float64, 2)
	for name, c := range map[string]struct {
		limits bodypolicy.Limits
		disk   *standin.Disk
	}{"shares, with files": {testLimits(), standin.NewDisk()}, "no shares, in memory": {lending, nil}} {
		t.Run(name, func(t *testing.T) {
			limits := c.limits
			if c.disk == nil {
				limits.FileMost = limits.MemoryMost
			}
			s := newTestStore(t, c.disk, limits, testTimeout)
			var wg sync.WaitGroup
			for _, class := range []int{-1, 0, 1, 2, 100} {
				for _, size := range []int{1, 70 << 10, 3 << 20} {
					for _, announced := range []bool{true, false} {
						wg.Go(func() {
							if err := passOn(s, class, size, announced); err != nil {
								t.Errorf("class %d, %d bytes, announced %v: %v", class, size, announced, err)
							}
						})
					}
				}
			}
			wg.Wait()
			eventually(t, "bookings are left", func() bool { return hasNoBookings(s) })
		})
	}
}

// passOn receives a body and reads it as its server does.
func passOn(s *Store, class, size int, announced bool) error {
	content := randomBytes(uint64(size), size)
	b, err := s.Receive(incoming(class, content, announced))
	for err == ErrNoRoom { // others hold the streams
		b, err = s.Receive(incoming(class, content, announced))
	}
	if err != nil {
		return err
	}
	defer b.Drop()
	forwarded := make(chan error, 1)
	go func() {
		if b.IsStreamed() {
			forwarded <- b.Forward()
		} else {
			forwarded <- nil
		}
	}()
	got, err := readAll(b)
	if err != nil {
		return err
	}
	if !bytes.Equal(got, content) {
		return fmt.Errorf("read %d bytes that were not sent", len(got))
	}
	return <-forwarded
}
