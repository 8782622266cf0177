package features

import (
	"strings"
	"testing"
)

// [zones] is disabled by default, and an invalid section is rejected with the name of the
// field and without the key.
func TestZonesDefaultAndErrors(t *testing.T) {
	f, err := Parse("f.toml", nil)
	if err != nil || f.Zones.Enabled || f.Duty.Enabled {
		t.Fatalf("Parse of an empty file = %v, %+v, want zones and duty disabled", err, f)
	}
	const duty = "[duty]\nenabled = true\nkey = \"hush\"\n"
	if f, err = Parse("f.toml", []byte(duty+"[zones]\nenabled = true\n[zones.regions]\nwest = [\"a\", \"b\"]\n")); err != nil || !f.Zones.Enabled || len(f.Zones.ZonesByRegion["west"]) != 2 {
		t.Errorf("Parse of a valid section = %v, %+v", err, f)
	}
	for text, want := range map[string]string{
		"[zones]\nenabled = true\n":                                    "zones.enabled: needs duty.enabled",
		"[duty]\nenabled = true\n[zones]\nenabled = true\n":            "zones.enabled: needs duty.key",
		duty + "[zones]\nenabled = true\n[zones.regions]\nwest = []\n": "zones.regions.west: names no zone",
		duty + "[zones.regions]\neast = [\"a\"]\nwest = [\"a\"]\n":     "zones.regions.west: zone \"a\" is in east too",
		duty + "[zones.regions]\na = [\"a\", \"b\"]\n":                 "zones.regions.a: has the name of one of its zones",
		"[zones.carried]\na = 1.5\n":                                   "zones.carried.a: must be within 0 and 1",
		"[zones]\npace = 3\n":                                          "zones.pace",
		"[zones]\ndwell = \"soon\"\n":                                  "zones.dwell",
	} {
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "hush") {
			t.Errorf("Parse(%q) = %v, want an error with %q and no key", text, err, want)
		}
	}
}
