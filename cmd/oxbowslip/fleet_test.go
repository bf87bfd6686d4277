package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSummarizeFleet summarizes a fleet of 985 hosts, of which one does not answer.
func TestSummarizeFleet(t *testing.T) {
	c := qt.New(t)
	var samples []hostSamples
	for n := range 985 {
		text := fmt.Sprintf("# HELP x\noxbowslip_peer_sent_bytes_total{kind=\"beats\"} %d\noxbowslip_peer_sent_bytes_total{kind=\"relays\"} %d\noxbowslip_hosts 985\n", n, n)
		if n < 4 {
			text += "oxbowslip_reads_store 1\n"
		}
		values, err := parseMetrics(strings.NewReader(text))
		c.Assert(err, qt.IsNil)
		first := sample{at: time.Unix(0, 0), values: map[string]float64{}}
		samples = append(samples, hostSamples{host: fmt.Sprint("h", n), first: first, second: sample{at: time.Unix(2, 0), values: values}})
	}
	samples[984].err = errors.New("refused")
	figures, failed := summarizeFleet(samples)
	c.Check(failed, qt.DeepEquals, []string{"h984"})
	c.Check(figures, qt.HasLen, 2*len(fleetFigures))
	for _, f := range figures {
		switch f.Role + " " + f.Figure {
		case "reader peer_bytes/s":
			c.Check(f.Worst, qt.DeepEquals, []string{"h3", "h2", "h1", "h0"})
		case "member peer_bytes/s":
			c.Check(f.Hosts, qt.Equals, 980)
			c.Check([]float64{f.Least, f.P50, f.Most}, qt.DeepEquals, []float64{4, 493, 983})
			c.Check(f.Worst, qt.HasLen, worstShown)
			c.Check(f.Worst[0], qt.Equals, "h983")
		case "member hosts_known":
			c.Check(f.P99, qt.Equals, 985.0)
		}
	}
}
