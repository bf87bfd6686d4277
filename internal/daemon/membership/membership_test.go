package membership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func hosts(names ...string) []Host {
	var list []Host
	for _, name := range names {
		list = append(list, Host{Name: name, Address: name + ":1"})
	}
	return list
}

func TestSchedulerSelection(t *testing.T) {
	// The two hosts with the highest hashes for the shard are determined from the full list.
	const shard = "shard-1"
	full := New(Host{Name: "a"})
	full.SetList(hosts("a", "b", "c"))
	first := full.Scheduler(shard).Name
	full.SetSuspected(first, true)
	second := full.Scheduler(shard).Name
	tests := map[string]struct {
		self string
		list []Host
		edit func(v *View)
		want string
	}{
		"the highest hash":                                   {self: "a", list: hosts("a", "b", "c"), want: first},
		"the same on every host":                             {self: "c", list: hosts("c", "b", "a"), want: first},
		"the second when the first is lost":                  {self: "c", list: hosts("a", "b", "c"), edit: func(v *View) { v.SetSuspected(first, true) }, want: second},
		"the first when it is back":                          {self: "c", list: hosts("a", "b", "c"), edit: func(v *View) { v.SetSuspected(first, true); v.SetSuspected(first, false) }, want: first},
		"the second when the first announces that it leaves": {self: "c", list: hosts("a", "b", "c"), edit: func(v *View) { v.MarkLeaving(first) }, want: second},
		"a host listed as leaving is excluded":               {self: "x", list: []Host{{Name: "a", Leaving: true}, {Name: "b"}}, want: "b"},
		"alone":                                              {self: "x", want: "x"},
		"all others lost":                                    {self: "x", list: hosts("a"), edit: func(v *View) { v.SetSuspected("a", true) }, want: "x"},
		"this host is not in the list yet":                   {self: "x", list: hosts("a"), want: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := New(Host{Name: test.self})
			v.SetList(test.list)
			if test.edit != nil {
				test.edit(v)
			}
			c.Assert(v.Scheduler(shard).Name, qt.Equals, test.want)
		})
	}
}

// TestLostHostMovesOnlyItsShards checks that shards are spread evenly over the hosts, and that the loss of a
// host moves only the shards of that host.
func TestLostHostMovesOnlyItsShards(t *testing.T) {
	c := qt.New(t)
	v := New(Host{Name: "h0"})
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprint("h", i))
	}
	v.SetList(hosts(names...))
	before := make(map[string]string)
	count := make(map[string]int)
	for i := range 800 {
		shard := fmt.Sprint("shard", i)
		before[shard] = v.Scheduler(shard).Name
		count[before[shard]]++
	}
	for _, name := range names {
		c.Assert(count[name] > 60 && count[name] < 140, qt.IsTrue, qt.Commentf("%s has %d of 800", name, count[name]))
	}
	v.SetSuspected("h3", true)
	for shard, was := range before {
		if was != "h3" {
			c.Assert(v.Scheduler(shard).Name, qt.Equals, was)
		}
	}
}
