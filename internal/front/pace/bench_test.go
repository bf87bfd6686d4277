package pace

import (
	"testing"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// BenchmarkTable measures a sample and a refresh in a fleet with 3,500 endpoints.
func BenchmarkTable(b *testing.B) {
	const endpoints = 3500
	table, numbers := NewTable(), map[keys.Service]int{testService: endpoints}
	for endpoint := range endpoints {
		table.Record(start, gap(endpoint, 0, 100+float64(endpoint%10)))
	}
	b.Run("sample", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			table.Record(start, gap(i%endpoints, 0, 100))
		}
	})
	b.Run("refresh", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			table.Refresh(start.Add(time.Duration(i)*time.Millisecond), numbers)
		}
	})
}
