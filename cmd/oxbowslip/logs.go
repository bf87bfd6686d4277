package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/logread"
)

// logs prints the history of a request from the logs of many hosts. Without files, it
// reads the logs from standard input.
func (t *tool) logs(id string, files []string) error {
	reader, closeAll, err := openAll(files)
	if err != nil {
		return err
	}
	defer closeAll()
	history, err := logread.FindRequest(reader, id)
	if err != nil {
		return err
	}
	return t.print(history, func(w *tabwriter.Writer) { printRequestHistory(w, &history) })
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

const logTimeFormat = "15:04:05.000"

// shareText describes the share of a workspace that is over it, and is empty for others.
func shareText(f *admission.Figures) string {
	if f.WorkAsked == 0 {
		return ""
	}
	return fmt.Sprintf("; the workspace asks for %.0f prompt tokens a second, its share is %.0f", f.WorkAsked, f.WorkShare)
}

func printRequestHistory(w *tabwriter.Writer, history *logread.RequestHistory) {
	for i := range history.Request {
		r := &history.Request[i]
		fmt.Fprintf(w, "request %s of %s, class %s, service %s, settings revision %d (%s)\n", r.ID, r.Workspace, r.Class, r.Service, r.Revision, r.Source)
		fmt.Fprintf(w, "%s: %s %s ran=%s %s; %d tries, %d ms, first event after %d ms, %d events, longest pause %d ms\n\n",
			r.Time.Format(logTimeFormat), r.Text, r.Reason, r.Ran, r.Detail, r.Tries, r.TookMS, r.FirstMS, r.Events, r.PauseMS)
		fmt.Fprintln(w, "time\tstep\tendpoint\treason\tfigures")
		for _, step := range r.Steps {
			figures := ""
			if f := step.Figures; f != nil {
				figures = fmt.Sprintf("waited %s; %d open and %d tokens unread there, %d tokens cached, first event expected after %s",
					f.Waited.Round(time.Millisecond), f.InFlight, f.Ahead, f.CachedTokens, f.PredictedFirstToken.Round(time.Millisecond))
				if f.PredictedEnd > 0 {
					figures += ", end after " + f.PredictedEnd.Round(time.Millisecond).String()
				}
				figures += shareText(f)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", step.At.Format(logTimeFormat), step.What, step.Endpoint, step.Reason, figures)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "log lines on its endpoints, workspaces over their share of its service, the store and the settings")
	fmt.Fprintln(w, "time\thost\tline\tendpoint or workspace\tcause")
	for i := range history.Around {
		l := &history.Around[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Time.Format(logTimeFormat), l.Source, l.Text, cmp.Or(l.Endpoint, l.Workspace), l.Error)
	}
}
