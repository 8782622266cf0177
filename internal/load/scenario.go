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

// ScenarioVersion is the only supported version of the scenario file format.
const ScenarioVersion = 1

const maxScenarioBytes = 1 << 20

// Scenario describes a load and, for a rehearsal, the site that receives it, the events that happen
// there and the result to be reached.
type Scenario struct {
	Version  int               `toml:"version"`
	Name     string            `toml:"name"`
	About    string            `toml:"about"`
	Seed     uint64            `toml:"seed"`
	Length   duration.Duration `toml:"length"`
	Poisson  bool              `toml:"poisson"`
	Arrivals []schedule.Shape  `toml:"arrivals"`
	Trace    string            `toml:"trace"` // in place of arrivals: the path of a file written by 'fawnctl load import'
	Speed    float64           `toml:"speed"` // speed of the replay; 0 means 1
	Classes  []Class           `toml:"classes"`
	Retries  Retries           `toml:"retries"`
	Limits   Limits            `toml:"limits"`

	Site   *Site   `toml:"site"`   // set for a rehearsal
	Events []Event `toml:"events"` // events of the rehearsal
	Aims   Aims    `toml:"aims"`   // aims of the rehearsal
}

// Site describes the stand-in servers that a rehearsal starts.
type Site struct {
	Servers           int               `toml:"servers"`
	Zones             []string          `toml:"zones"`     // assigned to the servers in turn; empty means a single zone
	RequestsPerSecond float64           `toml:"rate"`      // requests per second that a warm server can handle; 0 means no limit
	MinWorkTime       duration.Duration `toml:"work_from"` // shortest time that a request takes
	MaxWorkTime       duration.Duration `toml:"work_to"`   // longest time that a request takes
	ColdShare         float64           `toml:"cold"`      // share of the rate that a newly started server can handle
	WarmUpTime        duration.Duration `toml:"warm_in"`   // time from a start to the full rate
	FallFactor        float64           `toml:"fall_by"`   // a cold server fails when offered this many times its rate for FallFor
	FallFor           duration.Duration `toml:"fall_for"`
	Window            duration.Duration `toml:"window"`   // time for which servers drop repeats of a key
	Features          string            `toml:"features"` // content of the daemon's features file
}

// Event is an action that a rehearsal carries out at a set time.
type Event struct {
	At             duration.Duration `toml:"at"`
	Action         string            `toml:"do"`
	Servers        []int             `toml:"servers"` // server numbers, from 1
	Zone           string            `toml:"zone"`    // applies the action to all servers of this zone
	DiscoveryDelay duration.Duration `toml:"by"`      // delay of discovery, for the action lag
}

// eventActions maps each known action of an event to whether it needs servers or a zone.
var eventActions = map[string]bool{"freeze": true, "thaw": true, "kill": true, "restart": true, "drain": true, "undrain": true,
	"lag": false, "break-discovery": false}

// Aims are the results that a rehearsal must reach in addition to the rules of package rehearse.
type Aims struct {
	Earned float64 `toml:"earned"` // smallest share of the worth answered within the aim
}

// setDefaults fills in the fields that a scenario leaves out.
func (s *Scenario) setDefaults() {
	if s.Speed == 0 {
		s.Speed = 1
	}
	if s.Limits.Connections == 0 {
		s.Limits.Connections = 512
	}
	if s.Limits.Outstanding == 0 {
		s.Limits.Outstanding = 8192
	}
	if s.Limits.MaxSendDelay == 0 {
		s.Limits.MaxSendDelay = duration.Duration(5 * time.Millisecond)
	}
	if s.Retries.BackoffGrowth == 0 {
		s.Retries.BackoffGrowth = 2
	}
	if len(s.Classes) == 0 {
		s.Classes = DefaultClasses()
	}
	if s.Site != nil && s.Site.Window == 0 {
		s.Site.Window = duration.Duration(1500 * time.Millisecond)
	}
}

// DefaultClasses returns the three classes of the activation service, which a scenario without
// classes has.
func DefaultClasses() []Class {
	scenarioDuration := func(v time.Duration) duration.Duration { return duration.Duration(v) }
	return []Class{
		{"status-check", 0.52, Safe, scenarioDuration(800 * time.Millisecond), scenarioDuration(3 * time.Second), 1, 0, 0},
		{"id-register", 0.27, Keyed, scenarioDuration(time.Second), scenarioDuration(2500 * time.Millisecond), 3, 400, 4000},
		{"activate", 0.21, Once, scenarioDuration(750 * time.Millisecond), scenarioDuration(2500 * time.Millisecond), 10, 200, 400},
	}
}

// ReadScenario reads and checks a scenario file. Errors name the file and the field. A relative
// path of a trace is relative to the scenario's directory.
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

// ParseScenario parses and checks a scenario. Unknown fields and values out of range are errors
// that name the field.
func ParseScenario(data []byte) (*Scenario, error) {
	if len(data) > maxScenarioBytes {
		return nil, fmt.Errorf("the scenario is larger than the limit of %d bytes", maxScenarioBytes)
	}
	s := new(Scenario)
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(s); err != nil {
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) && len(missing.Errors) > 0 {
			e := &missing.Errors[0]
			line, _ := e.Position()
			return nil, fmt.Errorf("line %d: unknown field %v", line, e.Key())
		}
		return nil, err
	}
	s.setDefaults()
	return s, s.check()
}

// check returns an error that names the first field with a value out of range.
func (s *Scenario) check() error {
	invalid := func(field, want string) error { return fmt.Errorf("%s must be %s", field, want) }
	validSpan := func(d duration.Duration) bool { return d >= 0 && time.Duration(d) <= schedule.MaxLength }
	switch {
	case s.Version != ScenarioVersion:
		return invalid("version", fmt.Sprint(ScenarioVersion))
	case (s.Trace == "") == (len(s.Arrivals) == 0):
		return errors.New("either arrivals or trace must be set, and not both")
	case !(s.Speed > 0 && s.Speed <= 1000):
		return invalid("speed", "above 0 and at most 1000")
	case len(s.Classes) > 64:
		return invalid("classes", "at most 64")
	case s.Retries.MaxRetries < 0 || s.Retries.MaxRetries > 10:
		return invalid("retries.most", "between 0 and 10")
	case !validSpan(s.Retries.Backoff) || time.Duration(s.Retries.Backoff) > time.Minute:
		return invalid("retries.backoff", "between 0 and 1m")
	case !(s.Retries.BackoffGrowth >= 1 && s.Retries.BackoffGrowth <= 10):
		return invalid("retries.growth", "between 1 and 10")
	case !(s.Retries.Jitter >= 0 && s.Retries.Jitter <= 1):
		return invalid("retries.jitter", "between 0 and 1")
	case !(s.Retries.RetryAfterShare >= 0 && s.Retries.RetryAfterShare <= 1):
		return invalid("retries.heed", "between 0 and 1")
	case s.Limits.Connections < 1 || s.Limits.Connections > 1<<16:
		return invalid("limits.connections", "between 1 and 65536")
	case s.Limits.Outstanding < 1 || s.Limits.Outstanding > 1<<20:
		return invalid("limits.outstanding", "between 1 and 1048576")
	case !validSpan(s.Limits.MaxSendDelay) || s.Limits.MaxSendDelay == 0:
		return invalid("limits.lag", "above 0")
	case !(s.Limits.MaxCores >= 0 && s.Limits.MaxCores <= 1024):
		return invalid("limits.cpu", "between 0 and 1024")
	case !(s.Aims.Earned >= 0 && s.Aims.Earned <= 1):
		return invalid("aims.earned", "between 0 and 1")
	}
	totalShare := 0.0
	for n, c := range s.Classes {
		fieldPrefix := fmt.Sprintf("classes[%d].", n)
		totalShare += c.Share
		switch {
		case c.Name == "":
			return invalid(fieldPrefix+"name", "set")
		case !(c.Share >= 0 && c.Share <= 1e6):
			return invalid(fieldPrefix+"share", "between 0 and 1e6")
		case c.Effect != Safe && c.Effect != Keyed && c.Effect != Once:
			return invalid(fieldPrefix+"effect", "safe, keyed or once")
		case !validSpan(c.Deadline) || c.Deadline == 0 || time.Duration(c.Deadline) > 10*time.Minute:
			return invalid(fieldPrefix+"deadline", "above 0 and at most 10m")
		case c.Aim <= 0 || c.Aim > c.Deadline:
			return invalid(fieldPrefix+"aim", "above 0 and no longer than the deadline")
		case !(c.Worth >= 0 && c.Worth <= 1e6):
			return invalid(fieldPrefix+"worth", "between 0 and 1e6")
		case c.MinBodyBytes < 0 || c.MinBodyBytes > 1<<30 || c.MaxBodyBytes < 0 || c.MaxBodyBytes > 1<<30 || c.MaxBodyBytes > 0 && c.MaxBodyBytes < c.MinBodyBytes:
			return invalid(fieldPrefix+"body", "between 0 and 1 GiB and no larger than body_most")
		}
	}
	if totalShare <= 0 {
		return invalid("classes", "a list with at least one share above 0")
	}
	if s.Trace == "" {
		if err := s.plan().Check(); err != nil {
			return err
		}
	}
	return s.checkSite(invalid, validSpan)
}

// checkSite checks the site and its events. invalid makes an error for a field, and validSpan
// reports whether a duration is within bounds.
func (s *Scenario) checkSite(invalid func(field, want string) error, validSpan func(duration.Duration) bool) error {
	site := s.Site
	if site == nil {
		if len(s.Events) > 0 {
			return errors.New("events are set, but there is no [site] for them")
		}
		return nil
	}
	switch {
	case site.Servers < 1 || site.Servers > 400:
		return invalid("site.servers", "between 1 and 400")
	case len(site.Zones) > 32:
		return invalid("site.zones", "at most 32")
	case !(site.RequestsPerSecond >= 0 && site.RequestsPerSecond <= 1e6):
		return invalid("site.rate", "between 0 and 1e6")
	case !validSpan(site.MinWorkTime) || !validSpan(site.MaxWorkTime) || site.MaxWorkTime < site.MinWorkTime || time.Duration(site.MaxWorkTime) > time.Minute:
		return invalid("site.work_from and work_to", "in ascending order and at most 1m")
	case !(site.ColdShare >= 0 && site.ColdShare <= 1):
		return invalid("site.cold", "between 0 and 1")
	case !validSpan(site.WarmUpTime) || !validSpan(site.FallFor) || !validSpan(site.Window):
		return invalid("site.warm_in, fall_for and window", "between 0 and 24h")
	case !(site.FallFactor >= 0 && site.FallFactor <= 1000):
		return invalid("site.fall_by", "between 0 and 1000")
	}
	for n, e := range s.Events {
		fieldPrefix := fmt.Sprintf("events[%d].", n)
		needsServers, known := eventActions[e.Action]
		switch {
		case !known:
			return invalid(fieldPrefix+"do", "freeze, thaw, kill, restart, drain, undrain, lag or break-discovery")
		case !validSpan(e.At) || s.Trace == "" && e.At > s.Length:
			return invalid(fieldPrefix+"at", "between 0 and the length, and at most 24h")
		case !validSpan(e.DiscoveryDelay):
			return invalid(fieldPrefix+"by", "between 0 and 24h")
		case needsServers && len(e.Servers) == 0 && e.Zone == "":
			return invalid(fieldPrefix+"servers", "set, unless zone is set")
		}
		for _, server := range e.Servers {
			if server < 1 || server > site.Servers {
				return invalid(fieldPrefix+"servers", fmt.Sprintf("between 1 and %d", site.Servers))
			}
		}
		known = e.Zone == ""
		for _, zone := range site.Zones {
			known = known || zone == e.Zone
		}
		if !known {
			return invalid(fieldPrefix+"zone", "a zone of the site")
		}
	}
	return nil
}

// plan returns the schedule of a scenario with arrivals.
func (s *Scenario) plan() *schedule.Plan {
	return &schedule.Plan{Shapes: s.Arrivals, Length: time.Duration(s.Length), Poisson: s.Poisson, Seed: s.Seed}
}

// Source opens the scenario's source of calls. The caller calls closeSource when the run is over.
func (s *Scenario) Source() (source Source, closeSource func(), err error) {
	generator := newCallGenerator(s.Classes, s.Seed)
	if s.Trace == "" {
		return &scheduleSource{generator: generator, arrivals: s.plan().Arrivals()}, func() {}, nil
	}
	f, err := os.Open(s.Trace)
	if err != nil {
		return nil, nil, err
	}
	reader, err := trace.NewReader(f)
	if err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("%s: %w", s.Trace, err)
	}
	byName := make(map[string]*Class)
	for n := range s.Classes {
		byName[s.Classes[n].Name] = &s.Classes[n]
	}
	return &traceSource{generator: generator, reader: reader, speed: s.Speed, classes: byName}, func() { f.Close() }, nil
}

// Configure returns config completed for a run of the scenario, and a function that the caller
// calls when the run is over. It sends nothing itself.
func (s *Scenario) Configure(config Config) (Config, func(), error) {
	source, closeSource, err := s.Source()
	if err != nil {
		return config, nil, err
	}
	config.Source, config.Classes, config.Retries, config.Limits, config.Seed, config.Length = source, s.Classes, s.Retries, s.Limits, s.Seed, time.Duration(s.Length)
	return config, closeSource, nil
}

// callGenerator makes calls, with their classes and sizes drawn at random. The same seed gives the
// same classes and sizes.
type callGenerator struct {
	classes    []Class
	totalShare float64
	rng        *rand.Rand
	callCount  uint64
	runID      uint64
}

// newCallGenerator returns a callGenerator with a random run ID.
func newCallGenerator(classes []Class, seed uint64) *callGenerator {
	generator := &callGenerator{classes: classes, rng: rand.New(rand.NewPCG(seed, 0xc1a55)), runID: rand.Uint64()}
	for _, c := range classes {
		generator.totalShare += c.Share
	}
	return generator
}

// next returns a call of a class; if class is nil, the class is drawn by the shares. IDs and keys
// differ from run to run, because servers remember keys.
func (g *callGenerator) next(class *Class) Call {
	if class == nil {
		position := g.rng.Float64() * g.totalShare
		class = &g.classes[len(g.classes)-1]
		for n := range g.classes {
			if position < g.classes[n].Share {
				class = &g.classes[n]
				break
			}
			position -= g.classes[n].Share
		}
	}
	g.callCount++
	call := Call{ID: fmt.Sprintf("%08x%08x", uint32(g.runID), g.callCount), Class: class, BodyBytes: class.MinBodyBytes}
	if class.MaxBodyBytes > class.MinBodyBytes {
		call.BodyBytes += g.rng.IntN(class.MaxBodyBytes - class.MinBodyBytes + 1)
	}
	if class.Effect == Keyed {
		call.Key = fmt.Sprintf("%016x%016x", g.runID, g.callCount)
	}
	return call
}

// scheduleSource is a Source that follows a schedule.
type scheduleSource struct {
	generator *callGenerator
	arrivals  *schedule.Arrivals
}

// Next implements Source.
func (s *scheduleSource) Next() (time.Duration, Call, bool) {
	at, ok := s.arrivals.Next()
	if !ok {
		return 0, Call{}, false
	}
	return at, s.generator.next(nil), true
}

// traceSource is a Source that replays a trace.
type traceSource struct {
	generator         *callGenerator
	reader            *trace.Reader
	speed             float64
	classes           map[string]*Class
	err               error // the error that ended the trace, io.EOF at its regular end
	unknownClassCount int64 // calls skipped because the scenario does not have their class
}

// Next implements Source.
func (s *traceSource) Next() (time.Duration, Call, bool) {
	for {
		entry, err := s.reader.Next()
		if err != nil {
			s.err = err
			return 0, Call{}, false
		}
		class := s.classes[entry.Class]
		if class == nil {
			s.unknownClassCount++
			continue
		}
		call := s.generator.next(class)
		call.Path = entry.Path
		if entry.BodyBytes > 0 {
			call.BodyBytes = int(entry.BodyBytes)
		}
		if entry.Key != "" && class.Effect == Keyed {
			call.Key = entry.Key
		}
		return time.Duration(float64(entry.At) / s.speed), call, true
	}
}
