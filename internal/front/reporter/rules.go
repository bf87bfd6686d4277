package reporter

import "time"

const (
	// minShareInterval is the least time between two messages of a host to the leader: what a host that is killed had
	// counted since is lost, a tenth of a window of 5 s at the most.
	minShareInterval = 500 * time.Millisecond
	// shareIntervalPerHost makes it longer in a large fleet, for the leader's link.
	shareIntervalPerHost = 5 * time.Millisecond
	// shareSpread is the part of it over which messages are spread.
	shareSpread = 0.2
	// offsetWaitTime is how long a leader waits for the offers of all hosts before it agrees on the true time without the
	// rest: three messages of a host.
	offsetWaitTime = 1500 * time.Millisecond
	// fixedReportsWaitTime is how long the first leader of an era waits for the reports that hosts know.
	fixedReportsWaitTime = 500 * time.Millisecond
	// joinTime is how long after its start a host may not get all that leaders send: they do not know it yet.
	joinTime = time.Second
	// reportInterval is the time between two looks for windows to report.
	reportInterval = 100 * time.Millisecond
	// retryInterval is the wait after a call that failed.
	retryInterval = 400 * time.Millisecond
	// windowCheckDelay is how long after its end a window is looked at first.
	windowCheckDelay = 50 * time.Millisecond
	// lateFraction is the part of the time until a report is due after which it is made without the hosts that have not
	// sent their counts: the rest is for the calls.
	lateFraction = 0.6
	// keptReports is how many windows the store keeps the reports of.
	keptReports = 16
)

// shareInterval returns the mean time between two messages to the leader in a fleet of a number of hosts.
func shareInterval(hosts int) time.Duration {
	return max(time.Duration(hosts)*shareIntervalPerHost, minShareInterval)
}
