package generation

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack"
	"chalkrack/internal/configtrial"
	"chalkrack/internal/settings"
)

// newTestGeneration returns a generation whose classes have its ID as their worth, so that
// a test can tell which generation a class comes from.
func newTestGeneration(t interface{ Fatal(...any) }, id int, classNames []string, change func(*chalkrack.Config)) *Generation {
	cfg := chalkrack.Config{Instances: 1, MaxAttempts: 1 + id%4, ColdFrom: 0.2, ColdFor: 8 * time.Second, OverloadFactor: 2, OverloadFor: time.Second}
	var deadlines []time.Duration
	for range classNames {
		cfg.Classes = append(cfg.Classes, chalkrack.Class{Aim: time.Second, Worth: float64(id)})
		deadlines = append(deadlines, time.Second)
	}
	if change != nil {
		change(&cfg)
	}
	testSettings, err := settings.New(cfg, classNames, deadlines)
	if err != nil {
		t.Fatal(err)
	}
	return &Generation{ID: id, Settings: testSettings}
}

// beginTrial prepares a generation and begins its trial, with a judge of its own.
func beginTrial(m *Machine, next *Generation, cfg configtrial.Config, seed uint64) (rules chalkrack.Config, err error) {
	change, err := m.Prepare(next)
	if err != nil {
		return rules, err
	}
	cfg.Classes = change.ClassCount()
	judge, err := NewJudge(cfg)
	if err != nil {
		return rules, err
	}
	return m.BeginTrial(change, judge, cfg.Share, seed), nil
}

var testTrialConfig = configtrial.Config{Share: 0.3, FalseUndo: 0.01, DetectableShare: 0.5, Duration: time.Minute}

// Over any sequence of changes a class keeps its index, a generation's rules do not
// change, a class that a generation does not have stays unknown to it, and during a trial
// the shared rules are the stricter of both generations.
func TestClassIndexesAndRulesAcrossChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID[string])
		var generations []*Generation
		var rulesBefore []chalkrack.Config
		add := func(g *Generation) {
			generations = append(generations, g)
			c := *g.Rules()
			c.Classes = append([]chalkrack.Class(nil), c.Classes...)
			rulesBefore = append(rulesBefore, c)
		}
		first := newTestGeneration(t, 1, names.Draw(t, "first"), nil)
		m, err := New(first)
		if err != nil {
			t.Fatal(err)
		}
		add(first)
		indexByClass := make(map[string]int)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			v := m.View()
			var rules chalkrack.Config
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				cold := rapid.Float64Range(0, 1).Draw(t, "cold")
				g := newTestGeneration(t, step+2, names.Draw(t, "next"), func(c *chalkrack.Config) { c.ColdFrom, c.ColdFor = cold, time.Duration(cold*float64(20*time.Second)) })
				rules, err = beginTrial(m, g, testTrialConfig, 1)
				if (v.Next != nil) != errors.Is(err, ErrTrial) {
					t.Fatalf("BeginTrial with a trial on: %v: got error %v", v.Next != nil, err)
				}
				if err != nil {
					continue
				}
				add(g)
				for _, other := range []*chalkrack.Config{v.Current.Rules(), g.Rules()} {
					if rules.ColdFrom > other.ColdFrom || rules.ColdFor < other.ColdFor || rules.OverloadFactor > other.OverloadFactor || rules.OverloadFor > other.OverloadFor {
						t.Fatalf("shared rules %+v are less strict than %+v", rules, other)
					}
				}
			default:
				keep := rapid.Bool().Draw(t, "keep")
				if rules, err = m.EndTrial(keep); (v.Next == nil) != errors.Is(err, ErrIdle) {
					t.Fatal(err)
				}
				if err != nil {
					continue
				}
				want := v.Current
				if keep {
					want = v.Next
				}
				if m.View().Current != want || m.View().Next != nil {
					t.Fatal("the wrong generation is current after End")
				}
			}
			if len(rules.Classes) != len(m.Classes()) {
				t.Fatalf("%d classes have an index, the rules have %d classes", len(m.Classes()), len(rules.Classes))
			}
			for n, name := range m.Classes() {
				if old, ok := indexByClass[name]; ok && old != n {
					t.Fatalf("index of class %s changed from %d to %d", name, old, n)
				}
				indexByClass[name] = n
			}
		}
		for n, g := range generations {
			if !reflect.DeepEqual(*g.Rules(), rulesBefore[n]) {
				t.Fatalf("rules of generation %d changed", g.ID)
			}
			for name, index := range indexByClass {
				isKnown := g.Settings.ClassIndex([]byte(name)) >= 0
				if got := g.Class(name); isKnown && (got != index || g.Rules().Classes[index].Worth != float64(g.ID)) || !isKnown && got >= 0 {
					t.Fatalf("generation %d has class %s at index %d, the process at %d", g.ID, name, got, index)
				}
			}
		}
	})
}

// The new generation gets its share of calls. Calls from before the trial or from another
// trial do not count.
func TestTrialShareAndCountedCalls(t *testing.T) {
	old, next := newTestGeneration(t, 1, []string{"a", "gone"}, nil), newTestGeneration(t, 2, []string{"a"}, nil)
	m, err := New(old)
	if err != nil {
		t.Fatal(err)
	}
	early := m.View().Stamp(0)
	if _, err := beginTrial(m, next, testTrialConfig, 77); err != nil {
		t.Fatal(err)
	}
	nextCalls := 0
	for i := range uint64(10000) {
		if m.View().Stamp(i).Gen == next {
			nextCalls++
		}
	}
	if math.Abs(float64(nextCalls)-3000) > 150 {
		t.Errorf("the new generation got %d of 10,000 calls at share 0.3", nextCalls)
	}
	stampFor := func(g *Generation) (s Stamp) {
		for i := uint64(0); s.Gen != g; i++ {
			s = m.View().Stamp(i)
		}
		return s
	}
	m.RecordSuccess(early)
	m.RecordFailure(early, 0, configtrial.Failed)
	m.RecordFailure(stampFor(old), -1, configtrial.Failed)
	m.RecordFailure(stampFor(next), 0, configtrial.Late)
	m.RecordSuccess(stampFor(next))
	m.RecordUnknownClass(stampFor(next), "gone")
	m.RecordUnknownClass(stampFor(next), "never there") // unknown to both generations: a client error
	m.RecordUnknownClass(stampFor(old), "gone")
	if r := m.judge.Evaluate(time.Second); r.Calls != 3 || r.Verdict != configtrial.Watching {
		t.Errorf("%+v", r)
	}
	stale := stampFor(next)
	if _, err := m.EndTrial(false); err != nil {
		t.Fatal(err)
	}
	if _, err := beginTrial(m, newTestGeneration(t, 3, []string{"a"}, nil), testTrialConfig, 78); err != nil {
		t.Fatal(err)
	}
	// If calls of an ended trial, or from before any trial, counted, they would hide the
	// failures of the new generation.
	for range 1000 {
		m.RecordFailure(stale, 0, configtrial.Failed)
		m.RecordFailure(early, 0, configtrial.Failed)
	}
	for range 60 {
		m.RecordFailure(stampFor(m.View().Next), 0, configtrial.Failed)
	}
	if r := m.judge.Evaluate(time.Second); r.Calls != 60 || r.Verdict != configtrial.Undo {
		t.Errorf("calls that this trial did not assign count: %+v", r)
	}
	if _, err := m.EndTrial(false); err != nil {
		t.Fatal(err)
	}
	if _, err := beginTrial(m, newTestGeneration(t, 4, []string{"a"}, nil), testTrialConfig, 79); err != nil {
		t.Fatal(err)
	}
	// A change that removes a class which clients still use is undone.
	for range 100 {
		m.RecordUnknownClass(stampFor(m.View().Next), "gone")
	}
	if r := m.judge.Evaluate(time.Second); r.Verdict != configtrial.Undo || m.Classes()[r.Class] != "gone" {
		t.Errorf("%+v", r)
	}
}

// A generation that cannot be put on trial leaves the machine unchanged.
func TestRejectedTrialChangesNothing(t *testing.T) {
	m, err := New(newTestGeneration(t, 1, []string{"a"}, nil))
	if err != nil {
		t.Fatal(err)
	}
	v := m.View()
	var many []string
	for n := range maxNames {
		many = append(many, fmt.Sprint("class", n))
	}
	if _, err := beginTrial(m, newTestGeneration(t, 2, many, nil), testTrialConfig, 1); !errors.Is(err, ErrTooManyNames) {
		t.Errorf("a trial with too many classes: got error %v, want ErrTooManyNames", err)
	}
	if _, err := beginTrial(m, newTestGeneration(t, 2, []string{"b"}, nil), configtrial.Config{}, 1); err == nil {
		t.Error("a trial has an empty configtrial.Config")
	}
	if m.View() != v || len(m.Classes()) != 1 {
		t.Errorf("a rejected trial changed the machine: view %+v, classes %v", m.View(), m.Classes())
	}
	if _, err := m.EndTrial(true); !errors.Is(err, ErrIdle) {
		t.Errorf("EndTrial without a trial: got error %v, want ErrIdle", err)
	}
	// Classes of a change that was undone keep their index and learned state.
	if _, err := beginTrial(m, newTestGeneration(t, 3, []string{"b"}, nil), testTrialConfig, 1); err != nil {
		t.Fatal(err)
	}
	if rules, err := m.EndTrial(false); err != nil || len(rules.Classes) != 2 || rules.Validate() != nil {
		t.Errorf("%+v, %v", rules, err)
	}
}
