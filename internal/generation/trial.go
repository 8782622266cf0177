package generation

import (
	"errors"
	"time"

	"chalkrack"
	"chalkrack/internal/configtrial"
)

// Stamp assigns a call to a generation when it arrives; it stays the same until the call
// ends. The zero value means no generation.
type Stamp struct {
	Gen *Generation
	// trialID is the trial that assigned Gen at random; 0 if no trial was on.
	trialID int
}

// View is an immutable snapshot of the generations that take calls. A change of
// generations creates a new View.
type View struct {
	Current *Generation
	Next    *Generation // on trial; nil if there is no trial
	trialID int
	share   float64
	seed    uint64
}

// Stamp assigns the n-th call of a trial to a generation by a seeded hash. A caller cannot
// predict the assignment, so it is independent of how calls end.
func (v *View) Stamp(n uint64) Stamp {
	if v.Next == nil {
		return Stamp{Gen: v.Current}
	}
	hash := v.seed ^ n*0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	if float64((hash^hash>>31)>>11)/(1<<53) < v.share {
		return Stamp{v.Next, v.trialID}
	}
	return Stamp{v.Current, v.trialID}
}

// Errors of Machine methods that are called in the wrong state.
var (
	ErrTrial = errors.New("generation: a change is on trial")
	ErrIdle  = errors.New("generation: no change is on trial")
)

// Machine is the state machine of trials: the generation that serves, the one on trial
// and the judge that compares them. It is not safe for concurrent use.
type Machine struct {
	view       *View
	names      nameTable
	judge      *configtrial.Judge
	trialStart time.Duration
	trialCount int
}

// New returns a Machine with one generation and no trial.
func New(first *Generation) (*Machine, error) {
	m := new(Machine)
	var err error
	if m.names, err = m.names.withGeneration(first); err != nil {
		return nil, err
	}
	m.view = &View{Current: first}
	return m, nil
}

// View returns the generations that take calls now.
func (m *Machine) View() *View { return m.view }

// Classes returns the class names by index. The caller must not change the slice.
func (m *Machine) Classes() []string { return m.names.classes }

// BeginTrial starts a trial of next beside the current generation, with a judge configured by
// cfg (BeginTrial sets its Classes). It returns the rules for state that both share. On an
// error m does not change.
func (m *Machine) BeginTrial(now time.Duration, next *Generation, cfg configtrial.Config, seed uint64) (chalkrack.Config, error) {
	if m.view.Next != nil {
		return chalkrack.Config{}, ErrTrial
	}
	names, err := m.names.withGeneration(next)
	if err != nil {
		return chalkrack.Config{}, err
	}
	rules := stricterRules(&m.view.Current.rules, &next.rules) // valid because both are
	cfg.Classes = len(names.classes)
	judge, err := configtrial.New(cfg)
	if err != nil {
		return chalkrack.Config{}, err
	}
	m.trialCount++
	m.names, m.judge, m.trialStart = names, judge, now
	m.view = &View{Current: m.view.Current, Next: next, trialID: m.trialCount, share: cfg.Share, seed: seed}
	return rules, nil
}

// inTrial reports whether the outcome of a call counts for the judge: the trial
// that is on must have assigned its generation at random.
func (m *Machine) inTrial(s Stamp) bool { return m.view.Next != nil && s.trialID == m.view.trialID }

// RecordSuccess records a call that succeeded in time.
func (m *Machine) RecordSuccess(s Stamp) {
	if m.inTrial(s) {
		m.judge.RecordGood(s.Gen == m.view.Next)
	}
}

// RecordFailure records a call that failed, was refused or was late.
func (m *Machine) RecordFailure(s Stamp, class int, k configtrial.Kind) {
	if m.inTrial(s) {
		m.judge.RecordBad(class, k, s.Gen == m.view.Next)
	}
}

// RecordUnknownClass records a call whose class its generation does not have. It counts as
// failed if the generation is the one on trial and the current one has the class: the change
// removed a class that clients still use.
func (m *Machine) RecordUnknownClass(s Stamp, class string) {
	if m.inTrial(s) && s.Gen == m.view.Next {
		if index := m.view.Current.Class(class); index >= 0 {
			m.judge.RecordBad(index, configtrial.Failed, true)
		}
	}
}

// Evaluate returns the judge's ruling so far and the time since the trial began, or ErrIdle.
func (m *Machine) Evaluate(now time.Duration) (r configtrial.Result, since time.Duration, err error) {
	if m.view.Next == nil {
		return r, 0, ErrIdle
	}
	return m.judge.Evaluate(now - m.trialStart), now - m.trialStart, nil
}

// EndTrial ends the trial: with keep the generation on trial becomes the current one, otherwise
// the current one stays. It returns the rules that apply from now on, or ErrIdle. Calls in
// flight keep their generation.
func (m *Machine) EndTrial(keep bool) (chalkrack.Config, error) {
	v := m.view
	if v.Next == nil {
		return chalkrack.Config{}, ErrIdle
	}
	winner := v.Current
	if keep {
		winner = v.Next
	}
	m.view, m.judge = &View{Current: winner}, nil
	rules := winner.rules
	// Names of a generation that was undone keep their indexes: their learned state may be
	// needed again.
	rules.Classes = append(rules.Classes[:len(rules.Classes):len(rules.Classes)], m.names.lastClasses[len(rules.Classes):]...)
	rules.Tenants = append(rules.Tenants[:len(rules.Tenants):len(rules.Tenants)], make([]float64, len(m.names.tenants)-len(rules.Tenants))...)
	return rules, nil
}
