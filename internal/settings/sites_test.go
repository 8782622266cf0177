package settings

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"chalkrack"
)

// site is what a site's file says that the settings tell a sidecar. Ranges are drawn from for
// each day; what is read here is fixed.
type site struct {
	Name string
	Net  struct{ Zones []string }
	Load struct {
		OverShareWorth float64 `toml:"over_share_worth"`
	}
	Clients struct {
		MaxRetryAfterMs int64 `toml:"max_retry_after_ms"`
	}
	Discovery struct{ Mode string }
	Allow     struct {
		Probes, Peers, Cancel bool
		SecondCopies          bool `toml:"second_copies"`
		RetryAfter            bool `toml:"retry_after"`
		MaxAttempts           int  `toml:"max_attempts"`
	}
	Rules struct {
		DrainGraceMs int64   `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		FallMs       int64   `toml:"fall_ms"`
	}
	Prices struct {
		CrossZone  float64 `toml:"cross_zone"`
		Waste      float64
		Probe      float64
		Connection float64
	}
	Tier []struct {
		Name   string
		Report struct{ How string }
		Conn   struct {
			IdleS            float64 `toml:"idle_s"`
			ConnectTimeoutMs int64   `toml:"connect_timeout_ms"`
		}
		Kind []struct{ Name string }
	}
	Class []struct {
		Name, Effect, Group string
		AimMs               int64 `toml:"aim_ms"`
		DeadlineMs          int64 `toml:"deadline_ms"`
		WindowMs            int64 `toml:"window_ms"`
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
	}
	Tenant []struct{ Name string }
}

func readSite(t *testing.T, path string) *site {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := new(site)
	if err := toml.Unmarshal(text, s); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return s
}

// document is what the platform tells a sidecar of the site, by its words.
func (s *site) document() map[string]any {
	effects := map[string]string{"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
	var classes, tenants []any
	for _, c := range s.Class {
		m := map[string]any{"name": c.Name, "effect": effects[c.Effect], "promiseUs": c.AimMs * 1000, "hardLimitUs": c.DeadlineMs * 1000, "worth": c.Worth, "lateValue": c.LateWorth}
		if c.Effect == "keyed" {
			m["dedupScope"], m["repeatWindowUs"] = c.Group, c.WindowMs*1000
		}
		classes = append(classes, m)
	}
	for n, name := range s.Tenant {
		tenants = append(tenants, map[string]any{"name": name.Name, "allowancePerS": 10.5 + float64(n)})
	}
	mode := map[string]string{"push": "automatic", "ask": "subscribe"}[s.Discovery.Mode]
	tier := s.Tier[0]
	return map[string]any{
		"caps": map[string]any{"attemptsCap": s.Allow.MaxAttempts, "mayCancel": s.Allow.Cancel, "secondCopies": s.Allow.SecondCopies, "probes": s.Allow.Probes,
			"retryAfter": s.Allow.RetryAfter, "maxRetryAfterUs": s.Clients.MaxRetryAfterMs * 1000, "connIdleUs": int64(tier.Conn.IdleS * 1e6),
			"dialTimeoutUs": tier.Conn.ConnectTimeoutMs * 1000, "mostHeld": 4321},
		"classes": classes, "tenants": tenants, "overShareWorth": s.Load.OverShareWorth, "registryMode": mode, "replicasOfMe": 37, "zone": s.Net.Zones[0],
		"costs":    map[string]any{"crossZone": s.Prices.CrossZone, "waste": s.Prices.Waste, "probe": s.Prices.Probe, "connection": s.Prices.Connection},
		"feedback": map[string]any{"how": tier.Report.How},
		"guarantees": map[string]any{"askWithinUs": 9000000, "coldFrom": 0.31, "coldUs": 7100000, "drainGraceUs": s.Rules.DrainGraceMs * 1000,
			"overloadFactor": s.Rules.FallMultiple, "overloadForUs": s.Rules.FallMs * 1000},
	}
}

func sites(t *testing.T) (paths []string) {
	t.Helper()
	paths, err := filepath.Glob("../../deploy/sites/*/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("%d variants, %v", len(paths), err)
	}
	return paths
}

func parse(t *testing.T, doc map[string]any) *Settings {
	t.Helper()
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Settings of other customers come out as their files say, to the last class and limit.
func TestVariantsComeOutAsTheyAre(t *testing.T) {
	for _, path := range sites(t) {
		file := readSite(t, path)
		s := parse(t, file.document())
		if err := s.Config.Validate(); err != nil {
			t.Errorf("%s: %v", file.Name, err)
		}
		for n, c := range file.Class {
			got, ms := s.Config.Classes[n], time.Millisecond
			want := chalkrack.Class{Aim: time.Duration(c.AimMs) * ms, LateWorth: c.LateWorth, Worth: c.Worth}
			want.Effect = map[string]chalkrack.Effect{"safe": chalkrack.Safe, "keyed": chalkrack.Keyed, "unsafe": chalkrack.Unsafe}[c.Effect]
			if c.Effect == "keyed" {
				want.Window = time.Duration(c.WindowMs) * ms
				want.Scope = map[string]chalkrack.Scope{"all": chalkrack.ScopeAll, "zone": chalkrack.ScopeZone, "cell": chalkrack.ScopeGroup}[c.Group]
			}
			if s.Class([]byte(c.Name)) != n || got != want || s.DeadlineOf(c.Name) != time.Duration(c.DeadlineMs)*ms {
				t.Errorf("%s: class %s is %+v, deadline %v", file.Name, c.Name, got, s.DeadlineOf(c.Name))
			}
		}
		for n, k := range file.Tenant {
			if s.Tenant([]byte(k.Name)) != n {
				t.Errorf("%s: tenant %s is %d", file.Name, k.Name, s.Tenant([]byte(k.Name)))
			}
		}
		k := s.Config
		if len(k.Classes) != len(file.Class) || len(k.Tenants) != len(file.Tenant) || k.Zone != file.Net.Zones[0] || k.Instances != 37 ||
			(k.AskWithin > 0) != (file.Discovery.Mode == "ask") || k.SecondCopies != file.Allow.SecondCopies || k.MaxAttempts != file.Allow.MaxAttempts ||
			k.Probes != (file.Allow.Probes && file.Tier[0].Report.How == "probe") || s.DrainGrace != time.Duration(file.Rules.DrainGraceMs)*time.Millisecond {
			t.Errorf("%s: %+v", file.Name, s)
		}
	}
}

// Nothing that the settings tell is a constant here: each number and word of them that is
// changed alone makes other settings, or an error that names its field.
func TestEverySettingCounts(t *testing.T) {
	for _, path := range sites(t) {
		base := readSite(t, path)
		if base.Discovery.Mode != "ask" { // both forms take part in each field
			base.Tier[0].Report.How = "probe"
		}
		want := parse(t, base.document())
		var walk func(at string, doc any, set func(any))
		walk = func(at string, v any, set func(any)) {
			switch v := v.(type) {
			case map[string]any:
				for name, inner := range v {
					walk(at+"."+name, inner, func(x any) { v[name] = x })
				}
				return
			case []any:
				for n, inner := range v {
					walk(fmt.Sprintf("%s[%d]", at, n), inner, func(x any) { v[n] = x })
				}
				return
			}
			other := any(nil)
			switch v := v.(type) {
			case bool:
				other = !v
			case int:
				other = v + 1
			case int64:
				other = v + 1000
			case float64:
				other = v + 0.25
			case string:
				other = v + "x"
			}
			set(other)
			defer set(v)
			text, _ := json.Marshal(doc)
			got, err := Parse(text)
			name := at[strings.LastIndexAny(at, ".")+1:]
			switch {
			case err != nil && !strings.Contains(err.Error(), name):
				t.Errorf("%s: the error does not name %s: %v", base.Name, at, err)
			case err == nil && reflect.DeepEqual(got, want) && !idle(base, name):
				t.Errorf("%s: %s changes nothing", base.Name, at)
			}
		}
		doc = base.document()
		walk("", doc, nil)
	}
}

var doc map[string]any // that the walk changes

// idle says of a field that it tells nothing with the site's other ones.
func idle(s *site, name string) bool {
	switch name {
	case "askWithinUs":
		return s.Discovery.Mode != "ask"
	case "probes", "how":
		return !s.Allow.Probes
	}
	return false
}

// What is linked into the sidecar names no class, tenant, zone or server of any deployment.
func TestNoDeploymentIsBuiltIn(t *testing.T) {
	names := map[string]bool{"java-activation": true, "status-check": true, "id-register": true, "activate": true, "activation-servers": true,
		"jakarta": true, "bandung": true, "semarang": true, "half-speed": true}
	for _, path := range sites(t) {
		s := readSite(t, path)
		for _, c := range s.Class {
			names[c.Name] = true
		}
		for _, k := range s.Tenant {
			names[k.Name] = true
		}
		for _, z := range s.Net.Zones {
			names[z] = true
		}
	}
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{if .Module}}{{if .Module.Main}}{{.Dir}}{{end}}{{end}}{{end}}", "chalkrack/cmd/fawnrock").Output()
	if err != nil {
		t.Fatal(err)
	}
	files := 0
	for dir := range strings.Lines(string(out)) {
		paths, err := filepath.Glob(filepath.Join(strings.TrimSpace(dir), "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			files++
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
					if text, _ := strconv.Unquote(lit.Value); names[text] {
						t.Errorf("%s names %q", filepath.Base(path), text)
					}
				}
				return true
			})
		}
	}
	if files < 50 {
		t.Errorf("only %d files were read", files)
	}
}
