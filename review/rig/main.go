// Command rig runs the scripts of the review. It starts the daemon of the deploy file as separate processes and plays the
// platform's store, the servers and the clients itself, on loopback.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the function of each case. It returns whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(r *rig) (bool, error){
	"bodies":   runBodies,
	"versions": runVersions,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE, with FRONT, RECORD and TROUBLE in the environment")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play func(r *rig) (bool, error)) int {
	r, err := newRig()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer r.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-ended
		r.close()
		os.Exit(2)
	}()
	broken, err := play(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return 2
	case broken:
		r.note("RESULT: the rule was broken")
		return 1
	}
	r.note("RESULT: the rule held")
	return 0
}
