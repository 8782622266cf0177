package consensus

import (
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3/tracker"
)

type trackerProgress = tracker.Progress

// raftLogger is raft's logger. It logs warnings at debug level and errors as warnings, and drops
// the rest, as Member logs itself what operators need to know.
type raftLogger struct{}

func (raftLogger) Debug(...any)          {}
func (raftLogger) Debugf(string, ...any) {}
func (raftLogger) Info(...any)           {}
func (raftLogger) Infof(string, ...any)  {}

func (raftLogger) Warning(v ...any)            { slog.Debug("raft: " + fmt.Sprint(v...)) }
func (raftLogger) Warningf(f string, v ...any) { slog.Debug("raft: " + fmt.Sprintf(f, v...)) }
func (raftLogger) Error(v ...any)              { slog.Warn("raft: " + fmt.Sprint(v...)) }
func (raftLogger) Errorf(f string, v ...any)   { slog.Warn("raft: " + fmt.Sprintf(f, v...)) }
func (raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
