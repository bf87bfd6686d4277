package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"oxbowslip.dev/oxbowslip/internal/logread"
	"oxbowslip.dev/oxbowslip/internal/operator"
)

// logs prints what the logs of many hosts say about a request. Without files, they are
// read from standard input.
func (t *tool) logs(id string, files []string) error {
	reader, closeAll, err := openAll(files)
	if err != nil {
		return err
	}
	defer closeAll()
	story, err := logread.Read(reader, id)
	if err != nil {
		return err
	}
	return t.print(story, func(w *tabwriter.Writer) { printStory(w, &story) })
}

func openAll(files []string) (io.Reader, func(), error) {
	if len(files) == 0 {
		return os.Stdin, func() {}, nil
	}
	var readers []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, file := range opened {
			file.Close()
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		opened = append(opened, file)
		readers = append(readers, file)
	}
	return io.MultiReader(readers...), closeAll, nil
}

const logTime = "15:04:05.000"

func printStory(w *tabwriter.Writer, story *logread.Story) {
	for i := range story.Request {
		r := &story.Request[i]
		fmt.Fprintf(w, "request %s of %s, class %s, service %s, settings revision %d (%s)\n", r.ID, r.Workspace, r.Class, r.Service, r.Revision, r.Source)
		fmt.Fprintf(w, "%s: %s %s ran=%s %s; %d tries, %d ms, first event after %d ms, %d events, longest pause %d ms\n\n",
			r.Time.Format(logTime), r.Text, r.Reason, r.Ran, r.Detail, r.Tries, r.TookMS, r.FirstMS, r.Events, r.PauseMS)
		fmt.Fprintln(w, "time\tstep\tendpoint\treason\tfigures")
		for _, step := range r.Steps {
			figures := ""
			if f := step.Figures; f != nil {
				figures = fmt.Sprintf("waited %s; %d open and %d tokens unread there, %d tokens cached, first event expected after %s",
					f.Waited.Round(time.Millisecond), f.InFlight, f.Ahead, f.CachedTokens, f.PredictedFirstToken.Round(time.Millisecond))
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", step.At.Format(logTime), step.What, step.Endpoint, step.Reason, figures)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "what the hosts believed meanwhile")
	fmt.Fprintln(w, "time\thost\tline\tendpoint\tcause")
	for i := range story.Around {
		l := &story.Around[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Time.Format(logTime), l.Source, l.Text, l.Endpoint, l.Error)
	}
}

// doctor asks hosts for their state and reports what is wrong. It fails if anything is.
func (t *tool) doctor(ctx context.Context, addresses []string) error {
	var reports []hostReport
	for _, address := range addresses {
		status, err := operator.NewClient(address, t.key).Status(ctx)
		reports = append(reports, hostReport{Address: address, Status: status, err: err})
	}
	findings := examine(reports)
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d findings at %d hosts", len(findings), len(addresses))
	}
	fmt.Printf("%d hosts, nothing found\n", len(addresses))
	return nil
}

// hostReport is what one host answered.
type hostReport struct {
	Address string
	Status  operator.Status
	err     error
}

// examine compares the states of hosts.
func examine(reports []hostReport) []string {
	var findings []string
	newest, most := uint64(0), 0
	for i := range reports {
		newest = max(newest, reports[i].Status.Revision)
		most = max(most, reports[i].Status.Endpoints)
	}
	for i := range reports {
		r := &reports[i]
		add := func(format string, args ...any) {
			findings = append(findings, r.Address+": "+fmt.Sprintf(format, args...))
		}
		if r.err != nil {
			add("no answer: %v; is the host up, and is the key an operator's?", r.err)
			continue
		}
		s := &r.Status
		if !s.Ready {
			add("not ready: %s", s.Problem)
		}
		if s.Revision < newest {
			add("settings revision %d, another host has %d; see its log for 'store lost'", s.Revision, newest)
		}
		if s.Endpoints < most {
			add("knows %d endpoints, another host %d", s.Endpoints, most)
		}
		if s.Hosts > 0 && s.Hosts < len(reports) {
			add("hears %d hosts of %d; are heartbeats (UDP, the peers' address) let through?", s.Hosts, len(reports))
		}
		for _, endpoint := range s.Ejected {
			add("sends nothing new to %s, which failed; see its log for 'endpoint ejected'", endpoint)
		}
	}
	return findings
}
