package council

import (
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3/tracker"
)

type trackerProgress = tracker.Progress

// quiet takes what raft logs: what is of use to operators the member says itself.
type quiet struct{}

func (quiet) Debug(...any)          {}
func (quiet) Debugf(string, ...any) {}
func (quiet) Info(...any)           {}
func (quiet) Infof(string, ...any)  {}

func (quiet) Warning(v ...any)            { slog.Debug("raft: " + fmt.Sprint(v...)) }
func (quiet) Warningf(f string, v ...any) { slog.Debug("raft: " + fmt.Sprintf(f, v...)) }
func (quiet) Error(v ...any)              { slog.Warn("raft: " + fmt.Sprint(v...)) }
func (quiet) Errorf(f string, v ...any)   { slog.Warn("raft: " + fmt.Sprintf(f, v...)) }
func (quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
