package generation

import (
	"sync"
	"time"

	"chalkrack/internal/configtrial"
)

// Judge is the configtrial.Judge of all Machines that put a change on trial together. Its methods may
// be called from any goroutine.
type Judge struct {
	mu    sync.Mutex
	judge *configtrial.Judge
}

// NewJudge returns a Judge, or an error if cfg is invalid.
func NewJudge(cfg configtrial.Config) (*Judge, error) {
	judge, err := configtrial.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Judge{judge: judge}, nil
}

// RecordGood records a call that went well.
func (j *Judge) RecordGood(newGeneration bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.judge.RecordGood(newGeneration)
}

// RecordBad records a call that went badly.
func (j *Judge) RecordBad(class int, k configtrial.Kind, newGeneration bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.judge.RecordBad(class, k, newGeneration)
}

// Evaluate returns the ruling at a time after the start of the trial.
func (j *Judge) Evaluate(since time.Duration) configtrial.Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.judge.Evaluate(since)
}
