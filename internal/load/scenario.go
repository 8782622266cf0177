package load

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"chalkrack/internal/duration"
	"chalkrack/internal/load/schedule"
	"chalkrack/internal/load/trace"
)

// ScenarioVersion is the only one of a scenario file's form so far.
const ScenarioVersion = 1

const scenarioMost = 1 << 20

// Scenario is a load, and for a rehearsal what it meets and what must be kept.
type Scenario struct {
	Version  int               `toml:"version"`
	Name     string            `toml:"name"`
	About    string            `toml:"about"`
	Seed     uint64            `toml:"seed"`
	Length   duration.Duration `toml:"length"`
	Poisson  bool              `toml:"poisson"`
	Arrivals []schedule.Shape  `toml:"arrivals"`
	Trace    string            `toml:"trace"` // in place of arrivals: a file of 'fawnctl load import'
	Speed    float64           `toml:"speed"` // of the trace; 0: 1
	Classes  []Class           `toml:"classes"`
	Retries  Retries           `toml:"retries"`
	Limits   Limits            `toml:"limits"`

	Site   *Site   `toml:"site"`   // for a rehearsal
	Events []Event `toml:"events"` // in it
	Aims   Aims    `toml:"aims"`   // of it
}

// Site is the fleet of stand-ins that a rehearsal makes.
type Site struct {
	Servers  int               `toml:"servers"`
	Zones    []string          `toml:"zones"` // of the servers, in turn; empty: one
	Rate     float64           `toml:"rate"`  // requests a second of one server when warm; 0: any
	WorkFrom duration.Duration `toml:"work_from"`
	WorkTo   duration.Duration `toml:"work_to"`
	Cold     float64           `toml:"cold"` // share of the rate that a fresh one has
	WarmIn   duration.Duration `toml:"warm_in"`
	FallBy   float64           `toml:"fall_by"` // times what it can do, for FallFor, fells a cold one
	FallFor  duration.Duration `toml:"fall_for"`
	Window   duration.Duration `toml:"window"`   // for which servers drop a key's repeats
	Features string            `toml:"features"` // text of the daemon's features file
}

// Event is something that happens in a rehearsal.
type Event struct {
	At      duration.Duration `toml:"at"`
	Do      string            `toml:"do"`
	Servers []int             `toml:"servers"` // from 1
	Zone    string            `toml:"zone"`    // all servers of it
	By      duration.Duration `toml:"by"`      // of lag
}

// deeds are what events do, and whether they need servers.
var deeds = map[string]bool{"freeze": true, "thaw": true, "kill": true, "restart": true, "drain": true, "undrain": true,
	"lag": false, "break-discovery": false}

// Aims are what a rehearsal is held to beside the operators' rules.
type Aims struct {
	Earned float64 `toml:"earned"` // part of the worth answered within its aim, at least
}

// Defaults of what a scenario leaves out.
func (s *Scenario) defaults() {
	if s.Speed == 0 {
		s.Speed = 1
	}
	if s.Limits.Connections == 0 {
		s.Limits.Connections = 512
	}
	if s.Limits.Outstanding == 0 {
		s.Limits.Outstanding = 8192
	}
	if s.Limits.Lag == 0 {
		s.Limits.Lag = duration.Duration(5 * time.Millisecond)
	}
	if s.Retries.Growth == 0 {
		s.Retries.Growth = 2
	}
	if len(s.Classes) == 0 {
		s.Classes = Activation()
	}
	if s.Site != nil && s.Site.Window == 0 {
		s.Site.Window = duration.Duration(1500 * time.Millisecond)
	}
}

// Activation is the operators' three classes.
func Activation() []Class {
	d := func(v time.Duration) duration.Duration { return duration.Duration(v) }
	return []Class{
		{"status-check", 0.52, Safe, d(800 * time.Millisecond), d(3 * time.Second), 1, 0, 0},
		{"id-register", 0.27, Keyed, d(time.Second), d(2500 * time.Millisecond), 3, 400, 4000},
		{"activate", 0.21, Once, d(750 * time.Millisecond), d(2500 * time.Millisecond), 10, 200, 400},
	}
}

// ReadScenario reads a scenario's file. Errors name the field.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := ParseScenario(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Trace != "" && !filepath.IsAbs(s.Trace) {
		s.Trace = filepath.Join(filepath.Dir(path), s.Trace)
	}
	return s, nil
}

// ParseScenario reads a scenario. It is strict.
func ParseScenario(data []byte) (*Scenario, error) {
	if len(data) > scenarioMost {
		return nil, fmt.Errorf("over %d bytes long", scenarioMost)
	}
	s := new(Scenario)
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(s); err != nil {
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) && len(missing.Errors) > 0 {
			e := &missing.Errors[0]
			line, _ := e.Position()
			return nil, fmt.Errorf("line %d: there is no field %v", line, e.Key())
		}
		return nil, err
	}
	s.defaults()
	return s, s.check()
}

func (s *Scenario) check() error {
	bad := func(field, want string) error { return fmt.Errorf("%s must be %s", field, want) }
	span := func(d duration.Duration) bool { return d >= 0 && time.Duration(d) <= schedule.MaxLength }
	switch {
	case s.Version != ScenarioVersion:
		return bad("version", fmt.Sprint(ScenarioVersion))
	case (s.Trace == "") == (len(s.Arrivals) == 0):
		return errors.New("one of arrivals and trace must be there")
	case !(s.Speed > 0 && s.Speed <= 1000):
		return bad("speed", "above 0, 1000 at most")
	case len(s.Classes) > 64:
		return bad("classes", "64 at most")
	case s.Retries.Most < 0 || s.Retries.Most > 10:
		return bad("retries.most", "within 0 and 10")
	case !span(s.Retries.Backoff) || time.Duration(s.Retries.Backoff) > time.Minute:
		return bad("retries.backoff", "within 0 and 1m")
	case !(s.Retries.Growth >= 1 && s.Retries.Growth <= 10):
		return bad("retries.growth", "within 1 and 10")
	case !(s.Retries.Jitter >= 0 && s.Retries.Jitter <= 1):
		return bad("retries.jitter", "within 0 and 1")
	case !(s.Retries.Heed >= 0 && s.Retries.Heed <= 1):
		return bad("retries.heed", "within 0 and 1")
	case s.Limits.Connections < 1 || s.Limits.Connections > 1<<16:
		return bad("limits.connections", "within 1 and 65536")
	case s.Limits.Outstanding < 1 || s.Limits.Outstanding > 1<<20:
		return bad("limits.outstanding", "within 1 and 1048576")
	case !span(s.Limits.Lag) || s.Limits.Lag == 0:
		return bad("limits.lag", "above 0")
	case !(s.Limits.CPU >= 0 && s.Limits.CPU <= 1024):
		return bad("limits.cpu", "within 0 and 1024")
	case !(s.Aims.Earned >= 0 && s.Aims.Earned <= 1):
		return bad("aims.earned", "within 0 and 1")
	}
	share := 0.0
	for n, c := range s.Classes {
		at := fmt.Sprintf("classes[%d].", n)
		share += c.Share
		switch {
		case c.Name == "":
			return bad(at+"name", "set")
		case !(c.Share >= 0 && c.Share <= 1e6):
			return bad(at+"share", "within 0 and 1e6")
		case c.Effect != Safe && c.Effect != Keyed && c.Effect != Once:
			return bad(at+"effect", "safe, keyed or once")
		case !span(c.Deadline) || c.Deadline == 0 || time.Duration(c.Deadline) > 10*time.Minute:
			return bad(at+"deadline", "above 0, 10m at most")
		case c.Aim <= 0 || c.Aim > c.Deadline:
			return bad(at+"aim", "above 0 and no more than the deadline")
		case !(c.Worth >= 0 && c.Worth <= 1e6):
			return bad(at+"worth", "within 0 and 1e6")
		case c.Body < 0 || c.Body > 1<<30 || c.BodyMost < 0 || c.BodyMost > 1<<30 || c.BodyMost > 0 && c.BodyMost < c.Body:
			return bad(at+"body", "within 0 and 1 GiB, and no more than body_most")
		}
	}
	if share <= 0 {
		return bad("classes", "of shares above 0")
	}
	if s.Trace == "" {
		if err := s.plan().Check(); err != nil {
			return err
		}
	}
	return s.checkSite(bad, span)
}

func (s *Scenario) checkSite(bad func(field, want string) error, span func(duration.Duration) bool) error {
	t := s.Site
	if t == nil {
		if len(s.Events) > 0 {
			return errors.New("events need a site")
		}
		return nil
	}
	switch {
	case t.Servers < 1 || t.Servers > 400:
		return bad("site.servers", "within 1 and 400")
	case len(t.Zones) > 32:
		return bad("site.zones", "32 at most")
	case !(t.Rate >= 0 && t.Rate <= 1e6):
		return bad("site.rate", "within 0 and 1e6")
	case !span(t.WorkFrom) || !span(t.WorkTo) || t.WorkTo < t.WorkFrom || time.Duration(t.WorkTo) > time.Minute:
		return bad("site.work_from and work_to", "in this order, 1m at most")
	case !(t.Cold >= 0 && t.Cold <= 1):
		return bad("site.cold", "within 0 and 1")
	case !span(t.WarmIn) || !span(t.FallFor) || !span(t.Window):
		return bad("site.warm_in, fall_for and window", "within 0 and 24h")
	case !(t.FallBy >= 0 && t.FallBy <= 1000):
		return bad("site.fall_by", "within 0 and 1000")
	}
	for n, e := range s.Events {
		at := fmt.Sprintf("events[%d].", n)
		needs, known := deeds[e.Do]
		switch {
		case !known:
			return bad(at+"do", "freeze, thaw, kill, restart, drain, undrain, lag or break-discovery")
		case !span(e.At) || s.Trace == "" && e.At > s.Length:
			return bad(at+"at", "within 0 and the length")
		case !span(e.By):
			return bad(at+"by", "within 0 and 24h")
		case needs && len(e.Servers) == 0 && e.Zone == "":
			return bad(at+"servers", "set, or zone")
		}
		for _, server := range e.Servers {
			if server < 1 || server > t.Servers {
				return bad(at+"servers", fmt.Sprintf("within 1 and %d", t.Servers))
			}
		}
		known = e.Zone == ""
		for _, z := range t.Zones {
			known = known || z == e.Zone
		}
		if !known {
			return bad(at+"zone", "one of the site's")
		}
	}
	return nil
}

func (s *Scenario) plan() *schedule.Plan {
	return &schedule.Plan{Shapes: s.Arrivals, Length: time.Duration(s.Length), Poisson: s.Poisson, Seed: s.Seed}
}

// Source is what the scenario sends. close ends it.
func (s *Scenario) Source() (src Source, close func(), err error) {
	m := newMix(s.Classes, s.Seed)
	if s.Trace == "" {
		return &planned{mix: m, arrivals: s.plan().Arrivals()}, func() {}, nil
	}
	f, err := os.Open(s.Trace)
	if err != nil {
		return nil, nil, err
	}
	r, err := trace.NewReader(f)
	if err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("%s: %w", s.Trace, err)
	}
	byName := make(map[string]*Class)
	for n := range s.Classes {
		byName[s.Classes[n].Name] = &s.Classes[n]
	}
	return &replayed{mix: m, r: r, speed: s.Speed, classes: byName}, func() { f.Close() }, nil
}

// Run plays the scenario's load through a protocol.
func (s *Scenario) Run(cfg Config) (Config, func(), error) {
	src, closeSource, err := s.Source()
	if err != nil {
		return cfg, nil, err
	}
	cfg.Source, cfg.Classes, cfg.Retries, cfg.Limits, cfg.Seed, cfg.Length = src, s.Classes, s.Retries, s.Limits, s.Seed, time.Duration(s.Length)
	return cfg, closeSource, nil
}

// mix draws what calls are. It is the same for the same seed.
type mix struct {
	classes []Class
	total   float64
	rng     *rand.Rand
	n       uint64
	run     uint64
}

func newMix(classes []Class, seed uint64) *mix {
	m := &mix{classes: classes, rng: rand.New(rand.NewPCG(seed, 0xc1a55)), run: rand.Uint64()}
	for _, c := range classes {
		m.total += c.Share
	}
	return m
}

// call draws a call; class nil: also its class. Ids differ from run to run, for servers
// remember keys.
func (m *mix) call(class *Class) Call {
	if class == nil {
		at := m.rng.Float64() * m.total
		class = &m.classes[len(m.classes)-1]
		for n := range m.classes {
			if at < m.classes[n].Share {
				class = &m.classes[n]
				break
			}
			at -= m.classes[n].Share
		}
	}
	m.n++
	c := Call{ID: fmt.Sprintf("%08x%08x", uint32(m.run), m.n), Class: class, Body: class.Body}
	if class.BodyMost > class.Body {
		c.Body += m.rng.IntN(class.BodyMost - class.Body + 1)
	}
	if class.Effect == Keyed {
		c.Key = fmt.Sprintf("%016x%016x", m.run, m.n)
	}
	return c
}

// planned is a schedule as a Source.
type planned struct {
	mix      *mix
	arrivals *schedule.Arrivals
}

// Next implements Source.
func (p *planned) Next() (time.Duration, Call, bool) {
	at, ok := p.arrivals.Next()
	if !ok {
		return 0, Call{}, false
	}
	return at, p.mix.call(nil), true
}

// replayed is a trace as a Source.
type replayed struct {
	mix     *mix
	r       *trace.Reader
	speed   float64
	classes map[string]*Class
	// Err is what ended it before its end, Unknown how many calls had no class here.
	Err     error
	Unknown int64
}

// Next implements Source.
func (p *replayed) Next() (time.Duration, Call, bool) {
	for {
		e, err := p.r.Next()
		if err != nil {
			p.Err = err
			return 0, Call{}, false
		}
		class := p.classes[e.Class]
		if class == nil {
			p.Unknown++
			continue
		}
		c := p.mix.call(class)
		c.Path = e.Path
		if e.BodyBytes > 0 {
			c.Body = int(e.BodyBytes)
		}
		if e.Key != "" && class.Effect == Keyed {
			c.Key = e.Key
		}
		return time.Duration(float64(e.At) / p.speed), c, true
	}
}
