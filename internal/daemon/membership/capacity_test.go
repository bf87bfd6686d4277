package membership

import (
	"fmt"
	"testing"
)

// BenchmarkReassign measures a change of the list of hosts, after which the scheduler of each shard has to be
// determined again.
func BenchmarkReassign(b *testing.B) {
	for _, n := range []int{8, 64, 380} {
		b.Run(fmt.Sprintf("hosts=%d/shards=64", n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("host-", i))
			}
			v := New(Host{Name: "host-0"})
			b.ReportAllocs()
			for b.Loop() {
				v.SetList(hosts(names...))
				for i := range 64 {
					v.Scheduler(fmt.Sprint("shard-", i))
				}
			}
		})
	}
}
