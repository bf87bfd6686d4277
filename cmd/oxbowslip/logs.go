package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"oxbowslip.dev/oxbowslip/internal/logread"
)

// logs prints what the logs of many hosts say about a request. Without files, they are
// read from standard input.
func (t *tool) logs(id string, files []string) error {
	reader, closeAll, err := openAll(files)
	if err != nil {
		return err
	}
	defer closeAll()
	story, err := logread.FindRequest(reader, id)
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

func printStory(w *tabwriter.Writer, story *logread.RequestHistory) {
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
