package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// cases has the cases by name; each file adds its own.
var cases = map[string]func(*site){}

// maxRun bounds a run.
const maxRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit status: 0 if the rule held, 1 if it was broken, 2 if the case
// could not run.
func play(name, dir string) (status int) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &site{dir: dir, root: filepath.Dir(filepath.Dir(dir)), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if s.record, err = os.Create(filepath.Join(dir, "record.txt")); err == nil {
		s.tmp, err = os.MkdirTemp("", "second-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	end := make(chan int, 2)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				u, ok := p.(unable)
				if !ok {
					panic(p)
				}
				s.note("UNABLE %v", u.err)
				fmt.Println("unable:", u.err)
				end <- 2
			}
		}()
		cases[name](s)
		end <- 0
	}()
	select {
	case status = <-end:
	case <-time.After(maxRun):
		s.note("UNABLE the run takes too long")
		status = 2
	case <-stopped:
		status = 2
	}
	s.mu.Lock()
	closers := s.closers
	s.mu.Unlock()
	for _, c := range slices.Backward(closers) {
		c()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == 0 && len(s.findings) > 0 {
		status = 1
	}
	word := [...]string{"the rule held", "the rule was broken", "the case could not run"}[status]
	for n, f := range s.findings {
		if n < 5 {
			fmt.Println("broken:", f)
		}
	}
	fmt.Println(word)
	fmt.Fprintln(s.record, word)
	s.record.Close()
	os.RemoveAll(s.tmp)
	return status
}
