package membership

import (
	"maps"
	"testing"
	"time"

	"chalkrack"
)

func listed(name, address string, started time.Duration, state chalkrack.State) Entry {
	return Entry{Endpoint: chalkrack.Endpoint{Name: name, Started: started, State: state}, Address: address}
}

// A process that comes up at the address of another replaces it, however long the other stays listed.
func TestOneServerAtAnAddress(t *testing.T) {
	const up, gone = chalkrack.Serving, chalkrack.Gone
	complete := func(entries ...Entry) *List { return &List{Complete: true, Entries: entries} }
	change := func(entries ...Entry) *List { return &List{Entries: entries} }
	a, b := listed("a", "x:1", 0, up), listed("b", "x:1", 5, up)
	bLongAgo, aAgain, elsewhere := listed("b", "x:1", 0, up), listed("a", "x:1", 9, up), listed("a", "y:1", 0, up)
	for name, c := range map[string]struct {
		lists []*List
		want  map[string]bool // whether the server is there, after all lists
	}{
		"one after the other":           {[]*List{complete(a), change(listed("a", "", 0, gone)), change(b)}, map[string]bool{"a": false, "b": true}},
		"the other is still listed":     {[]*List{complete(a), change(b)}, map[string]bool{"a": false, "b": true}},
		"without a start":               {[]*List{complete(a), change(bLongAgo)}, map[string]bool{"a": false, "b": true}},
		"the other is listed again":     {[]*List{complete(a), change(bLongAgo), change(a)}, map[string]bool{"a": false, "b": true}},
		"both in each complete list":    {[]*List{complete(a), complete(a, bLongAgo), complete(bLongAgo, a), complete(a, bLongAgo)}, map[string]bool{"a": false, "b": true}},
		"both in the first list":        {[]*List{complete(b, a)}, map[string]bool{"a": false, "b": true}},
		"the other starts again":        {[]*List{complete(a), change(b), change(aAgain)}, map[string]bool{"a": true, "b": false}},
		"the other moves":               {[]*List{complete(a), change(b), change(elsewhere)}, map[string]bool{"a": true, "b": true}},
		"moves as another comes":        {[]*List{complete(a), complete(b, elsewhere)}, map[string]bool{"a": true, "b": true}},
		"moves by a change":             {[]*List{complete(a), change(b, elsewhere)}, map[string]bool{"a": true, "b": true}},
		"changes places":                {[]*List{complete(a, listed("b", "y:1", 0, up)), change(bLongAgo, elsewhere)}, map[string]bool{"a": true, "b": true}},
		"an old start at a new address": {[]*List{complete(elsewhere, b), change(a)}, map[string]bool{"a": false, "b": true}},
		"the replacement goes too":      {[]*List{complete(a), change(b), change(listed("b", "", 0, gone)), change(a)}, map[string]bool{"a": true, "b": false}},
		"a complete list without it":    {[]*List{complete(a), change(b), complete(a)}, map[string]bool{"a": true, "b": false}},
	} {
		t.Run(name, func(t *testing.T) {
			var table AddressTable
			is := make(map[string]bool)
			for _, list := range c.lists {
				resolved := table.Resolve(list)
				if resolved.Complete {
					is = map[string]bool{"a": false, "b": false}
				}
				for _, entry := range resolved.Entries {
					is[entry.Name] = entry.State != gone
				}
			}
			if _, ok := is["b"]; !ok {
				is["b"] = false
			}
			if !maps.Equal(is, c.want) {
				t.Errorf("there: %v, want %v", is, c.want)
			}
		})
	}
}

// Resolve leaves its argument as it is.
func TestResolveChangesNoList(t *testing.T) {
	var table AddressTable
	list := &List{Complete: true, Entries: []Entry{listed("a", "x:1", 0, chalkrack.Serving), listed("b", "x:1", 5, chalkrack.Serving)}}
	if resolved := table.Resolve(list); resolved == list || list.Entries[0].State != chalkrack.Serving {
		t.Error("the list was changed")
	}
}
