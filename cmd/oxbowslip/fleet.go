package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/httphead"
)

const (
	// maxFleetQueries is the number of hosts that are queried at a time.
	maxFleetQueries = 32
	// fleetQueryTimeout bounds a query of one host.
	fleetQueryTimeout = 5 * time.Second
	// worstShown is the number of hosts that are listed for a figure.
	worstShown = 10
)

// sample is the metrics of a host at a point in time, by series.
type sample struct {
	at     time.Time
	values map[string]float64
}

// hostSamples are two samples of a host, or the error of the query.
type hostSamples struct {
	host          string
	first, second sample
	err           error
}

// figure is a value that is computed from two samples of a host.
type figure struct {
	name string
	of   func(s *hostSamples) float64
}

// rate returns a figure with the increase per second of the sum of all series whose names begin with a prefix.
func rate(name, prefix string) figure {
	return figure{name: name, of: func(s *hostSamples) float64 {
		return (s.second.sum(prefix) - s.first.sum(prefix)) / s.second.at.Sub(s.first.at).Seconds()
	}}
}

// level returns a figure with the newest value of a series.
func level(name, series string) figure {
	return figure{name: name, of: func(s *hostSamples) float64 { return s.second.values[series] }}
}

// sum returns the sum of all series whose names begin with a prefix.
func (s *sample) sum(prefix string) float64 {
	total := 0.0
	for series, value := range s.values {
		if strings.HasPrefix(series, prefix) {
			total += value
		}
	}
	return total
}

// fleetFigures are the figures that are shown of a fleet.
var fleetFigures = []figure{
	rate("cores", "oxbowslip_processor_seconds"),
	level("memory_bytes", "oxbowslip_memory_bytes"),
	rate("peer_bytes/s", "oxbowslip_peer_sent_bytes_total"),
	rate("datagrams_sent/s", "oxbowslip_peer_datagrams_sent"),
	rate("datagrams_received/s", "oxbowslip_peer_datagrams_received"),
	rate("refused/s", "oxbowslip_peer_refused_total"),
	rate("store_calls/s", "oxbowslip_store_calls_total"),
	rate("connections/s", "oxbowslip_upstream_connections_made"),
	level("open_requests", "oxbowslip_open_requests"),
	level("hosts_known", "oxbowslip_hosts"),
	level("endpoints_known", "oxbowslip_endpoints"),
	level("settings_age_s", `oxbowslip_age_seconds{of="settings"}`),
	level("endpoints_age_s", `oxbowslip_age_seconds{of="endpoints"}`),
}

// roleOf returns the role of a host: what it does for others in addition to its own requests.
func roleOf(s *hostSamples) string {
	switch {
	case s.second.values["oxbowslip_reads_store"] > 0:
		return "reader"
	case s.second.values["oxbowslip_hosts_served"] > 0:
		return "aggregator"
	}
	return "member"
}

// roleFigure describes the values of a figure at the hosts with a role.
type roleFigure struct {
	Role   string   `json:"role"`
	Figure string   `json:"figure"`
	Hosts  int      `json:"hosts"`
	Least  float64  `json:"least"`
	P50    float64  `json:"p50"`
	P99    float64  `json:"p99"`
	Most   float64  `json:"most"`
	Worst  []string `json:"worst"`
}

// fleet queries the metrics of hosts twice and prints figures by role, with the hosts that have the highest values.
func (t *tool) fleet(ctx context.Context, addresses []string, over time.Duration) error {
	samples := queryFleet(ctx, addresses, over)
	figures, failed := summarizeFleet(samples)
	err := t.print(figures, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "ROLE\tFIGURE\tHOSTS\tLEAST\tP50\tP99\tMOST\tWORST")
		for _, f := range figures {
			fmt.Fprintf(w, "%s\t%s\t%d\t%.4g\t%.4g\t%.4g\t%.4g\t%s\n", f.Role, f.Figure, f.Hosts, f.Least, f.P50, f.P99, f.Most, strings.Join(f.Worst, " "))
		}
	})
	if err == nil && len(failed) > 0 {
		err = fmt.Errorf("%d of %d hosts did not answer, the first: %s", len(failed), len(addresses), strings.Join(failed[:min(len(failed), worstShown)], " "))
	}
	return err
}

// queryFleet takes two samples of each host.
func queryFleet(ctx context.Context, addresses []string, over time.Duration) []hostSamples {
	samples := make([]hostSamples, len(addresses))
	query := func(take func(s *hostSamples) error) {
		var queries sync.WaitGroup
		slots := make(chan struct{}, maxFleetQueries)
		for i := range samples {
			samples[i].host = addresses[i]
			slots <- struct{}{}
			queries.Go(func() {
				defer func() { <-slots }()
				if samples[i].err == nil {
					samples[i].err = take(&samples[i])
				}
			})
		}
		queries.Wait()
	}
	query(func(s *hostSamples) (err error) { s.first, err = querySample(ctx, s.host); return err })
	select {
	case <-time.After(over):
	case <-ctx.Done():
	}
	query(func(s *hostSamples) (err error) { s.second, err = querySample(ctx, s.host); return err })
	return samples
}

// metricsClient reads the metrics of hosts.
var metricsClient = &http.Client{Transport: httphead.NewTransport(new(net.Dialer))}

// querySample reads the metrics of a host at an address with a path.
func querySample(ctx context.Context, address string) (sample, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetQueryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return sample{}, merry.Wrap(err)
	}
	response, err := metricsClient.Do(request)
	if err != nil {
		return sample{}, merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return sample{}, merry.Errorf("status %d", response.StatusCode)
	}
	values, err := parseMetrics(response.Body)
	return sample{at: time.Now(), values: values}, err
}

// parseMetrics returns the values of series in the text format of Prometheus. Lines that it can't read are skipped.
func parseMetrics(text io.Reader) (map[string]float64, error) {
	values := make(map[string]float64)
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		series, value, found := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); found && err == nil {
			values[series] = number
		}
	}
	return values, merry.Wrap(lines.Err())
}

// summarizeFleet returns the figures of the hosts of each role, and the hosts that did not answer.
func summarizeFleet(samples []hostSamples) (figures []roleFigure, failed []string) {
	byRole := make(map[string][]*hostSamples)
	for i := range samples {
		s := &samples[i]
		if s.err != nil {
			failed = append(failed, s.host)
			continue
		}
		byRole[roleOf(s)] = append(byRole[roleOf(s)], s)
	}
	for _, role := range []string{"reader", "aggregator", "member"} {
		hosts := byRole[role]
		if len(hosts) == 0 {
			continue
		}
		for _, f := range fleetFigures {
			slices.SortStableFunc(hosts, func(a, b *hostSamples) int { return cmp.Compare(f.of(a), f.of(b)) })
			at := func(share float64) float64 { return f.of(hosts[int(share*float64(len(hosts)-1))]) }
			summary := roleFigure{Role: role, Figure: f.name, Hosts: len(hosts), Least: at(0), P50: at(0.5), P99: at(0.99), Most: at(1)}
			for _, s := range slices.Backward(hosts[max(len(hosts)-worstShown, 0):]) {
				summary.Worst = append(summary.Worst, s.host)
			}
			figures = append(figures, summary)
		}
	}
	return figures, failed
}
