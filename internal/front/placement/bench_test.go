package placement

import (
	"fmt"
	"testing"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

// BenchmarkChoose measures the choice among the endpoints of a service.
func BenchmarkChoose(b *testing.B) {
	for _, number := range []int{9, 112, 3500} {
		b.Run(fmt.Sprint(number), func(b *testing.B) {
			ids := make([]string, number)
			for n := range ids {
				ids[n] = fmt.Sprint("endpoint-", n)
			}
			all := entries(ids...)
			v := NewView()
			for _, e := range all {
				v.loads.Begin(e.ID, 500)
			}
			request := long(7)
			b.ReportAllocs()
			for b.Loop() {
				v.Choose(start, "llm", request, all, all, []*directory.Entry(nil))
			}
		})
	}
}
