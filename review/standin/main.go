// Command standin plays the cases of the review that are scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limits are the limits of a configuration on clients.
func limits() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

func main() {
	cases := map[string]func(f *fleet, trouble bool) (bool, error){"lapse": runLapse, "lockout": runLockout}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code. All processes have ended then, also after a signal.
func play(run func(*fleet, bool) (bool, error), record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- judge(f, run) }()
	select {
	case code := <-result:
		return code
	case received := <-stopped:
		f.note("stopped by %v", received)
		return exitNotRun
	}
}

// judge plays a case, notes its result and returns the exit code.
func judge(f *fleet, run func(*fleet, bool) (bool, error)) int {
	broken, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		f.note("the rule was broken")
		return exitBroken
	}
	f.note("the rule held")
	return exitHeld
}
