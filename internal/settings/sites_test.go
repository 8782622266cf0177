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

// site holds those values of a site file that the settings document passes to a sidecar. Values that
// the file gives as ranges are drawn anew for each simulated day; the values read here are fixed.
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

// document returns the settings document that the platform gives a sidecar of the site.
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
	for n, tenant := range s.Tenant {
		tenants = append(tenants, map[string]any{"name": tenant.Name, "allowancePerS": 10.5 + float64(n)})
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

func sitePaths(t *testing.T) (paths []string) {
	t.Helper()
	paths, err := filepath.Glob("../../deploy/sites/*/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("%d site files, error %v, want at least 2", len(paths), err)
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

// For each site file, Parse must return the classes, tenants and limits of that file.
func TestSitesParseToTheirValues(t *testing.T) {
	for _, path := range sitePaths(t) {
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
			if s.ClassIndex([]byte(c.Name)) != n || got != want || s.DeadlineOf(c.Name) != time.Duration(c.DeadlineMs)*ms {
				t.Errorf("%s: class %s parsed as %+v, deadline %v", file.Name, c.Name, got, s.DeadlineOf(c.Name))
			}
		}
		for n, tenant := range file.Tenant {
			if s.TenantIndex([]byte(tenant.Name)) != n {
				t.Errorf("%s: tenant %s has index %d", file.Name, tenant.Name, s.TenantIndex([]byte(tenant.Name)))
			}
		}
		config := s.Config
		if len(config.Classes) != len(file.Class) || len(config.Tenants) != len(file.Tenant) || config.Zone != file.Net.Zones[0] || config.Instances != 37 ||
			(config.AskWithin > 0) != (file.Discovery.Mode == "ask") || config.SecondCopies != file.Allow.SecondCopies || config.MaxAttempts != file.Allow.MaxAttempts ||
			config.Probes != (file.Allow.Probes && file.Tier[0].Report.How == "probe") || s.DrainGrace != time.Duration(file.Rules.DrainGraceMs)*time.Millisecond {
			t.Errorf("%s: unexpected settings %+v", file.Name, s)
		}
	}
}

// Guards against a setting that is ignored or replaced by a constant. Changing any single value of
// the document must change the parsed settings or cause an error that names the field.
func TestEverySettingHasAnEffect(t *testing.T) {
	for _, path := range sitePaths(t) {
		base := readSite(t, path)
		if base.Discovery.Mode != "ask" { // covers probes on the sites that do not subscribe to discovery
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
			text, _ := json.Marshal(walkedDocument)
			got, err := Parse(text)
			name := at[strings.LastIndexAny(at, ".")+1:]
			switch {
			case err != nil && !strings.Contains(err.Error(), name):
				t.Errorf("%s: the error for a changed %s does not name it: %v", base.Name, at, err)
			case err == nil && reflect.DeepEqual(got, want) && !hasNoEffect(base, name):
				t.Errorf("%s: a changed %s has no effect", base.Name, at)
			}
		}
		walkedDocument = base.document()
		walk("", walkedDocument, nil)
	}
}

// walkedDocument is the document that TestEverySettingHasAnEffect changes.
var walkedDocument map[string]any

// hasNoEffect reports whether a field has no effect with the site's other values.
func hasNoEffect(s *site, name string) bool {
	switch name {
	case "askWithinUs":
		return s.Discovery.Mode != "ask"
	case "probes", "how":
		return !s.Allow.Probes
	}
	return false
}

// Guards against code that depends on one deployment: no package linked into the sidecar may contain
// a string that names a class, tenant, zone or server of a deployment.
func TestSidecarNamesNoDeployment(t *testing.T) {
	names := map[string]bool{"java-activation": true, "status-check": true, "id-register": true, "activate": true, "activation-servers": true,
		"jakarta": true, "bandung": true, "semarang": true, "half-speed": true}
	for _, path := range sitePaths(t) {
		s := readSite(t, path)
		for _, c := range s.Class {
			names[c.Name] = true
		}
		for _, tenant := range s.Tenant {
			names[tenant.Name] = true
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
						t.Errorf("%s contains the deployment's name %q", filepath.Base(path), text)
					}
				}
				return true
			})
		}
	}
	if files < 50 {
		t.Errorf("%d files were read, want at least 50", files)
	}
}
