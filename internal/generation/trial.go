package generation

import (
	"errors"

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
	judge      *Judge // of the trial; nil if there is none
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

// Change is a generation that a Machine has checked and can put on trial.
type Change struct {
	next  *Generation
	names nameTable
	rules chalkrack.Config
}

// ClassCount returns the number of classes that a judge of the change has to tell apart.
func (c *Change) ClassCount() int { return len(c.names.classes) }

// Prepare checks a generation as the next one. It does not change m, and the result is valid until
// the next call of BeginTrial.
func (m *Machine) Prepare(next *Generation) (*Change, error) {
	if m.view.Next != nil {
		return nil, ErrTrial
	}
	names, err := m.names.withGeneration(next)
	if err != nil {
		return nil, err
	}
	return &Change{next, names, stricterRules(&m.view.Current.rules, &next.rules)}, nil // valid because both are
}

// BeginTrial starts the trial of a prepared change beside the current generation, with the given
// share of the calls. Machines that change together have one judge. It returns the rules for state
// that both generations share.
func (m *Machine) BeginTrial(c *Change, judge *Judge, share float64, seed uint64) chalkrack.Config {
	m.trialCount++
	m.names, m.judge = c.names, judge
	m.view = &View{Current: m.view.Current, Next: c.next, trialID: m.trialCount, share: share, seed: seed}
	return c.rules
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
