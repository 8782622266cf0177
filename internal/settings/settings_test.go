package settings

import (
	"testing"
	"time"

	"chalkrack"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"zone":"z","overShareWorth":0.5,"unknown":1,"replicasOfMe":3,"registryMode":"automatic",
		"tenants":[{"name":"p","allowancePerS":7.5,"share":1}],
		"caps":{"connIdleUs":30000000,"dialTimeoutUs":250000,"mostHeld":9,"maxRetryAfterUs":7,"retryAfter":true},
		"guarantees":{"drainGraceUs":2000000,"askWithinUs":5},
		"classes":[{"name":"a","promiseUs":5,"hardLimitUs":6,"effect":"by_key","dedupScope":"cell"},{"name":"b","promiseUs":5,"effect":"once"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.Zone != "z" || c.OverShareWorth != 0.5 || c.Instances != 3 || len(c.Tenants) != 1 || c.Tenants[0] != 7.5 ||
		c.MaxRetryAfter != 7*time.Microsecond || c.AskWithin != 0 || len(c.Classes) != 2 ||
		c.Classes[0].Effect != chalkrack.Keyed || c.Classes[0].Scope != chalkrack.ScopeGroup ||
		c.Classes[1].Effect != chalkrack.Unsafe || c.Classes[0].Aim != 5*time.Microsecond {
		t.Errorf("config: %+v", c)
	}
	if s.ConnIdle != 30*time.Second || s.DialTimeout != 250*time.Millisecond || s.DrainGrace != 2*time.Second ||
		s.MostHeld != 9 || s.Deadlines[0] != 6*time.Microsecond {
		t.Errorf("settings: %+v", s)
	}
	if s.Class([]byte("b")) != 1 || s.Class([]byte("c")) != -1 || s.Tenant([]byte("p")) != 0 || s.Tenant(nil) != -1 {
		t.Error("places of names")
	}
	if _, err := Parse([]byte(`[]`)); err == nil {
		t.Error("a list passed as settings")
	}
}
