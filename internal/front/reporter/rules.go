package reporter

import "time"

const (
	// minShareInterval is the shortest mean time between two messages of a host to the leader. The counts since the
	// last message are lost if the host is killed: at most a tenth of a window of 5 s.
	minShareInterval = 500 * time.Millisecond
	// shareIntervalPerHost lengthens the time between messages in a large fleet, to limit the traffic on the leader's
	// link.
	shareIntervalPerHost = 5 * time.Millisecond
	// shareSpread is the fraction of the time between messages over which they are spread.
	shareSpread = 0.2
	// offsetWaitTime is how long a leader waits for the clock offsets of all hosts before it agrees on the median of
	// those that it has. It covers three messages of a host.
	offsetWaitTime = 1500 * time.Millisecond
	// fixedReportsWaitTime is how long the first leader of an era waits for the fixed reports that other hosts have
	// received.
	fixedReportsWaitTime = 500 * time.Millisecond
	// joinTime is the time after the start of a host in which it may miss messages of leaders, as they do not know it
	// yet.
	joinTime = time.Second
	// reportInterval is the time between two checks for windows to report.
	reportInterval = 100 * time.Millisecond
	// retryInterval is the wait after a failed call.
	retryInterval = 400 * time.Millisecond
	// windowCheckDelay is the time from the end of a window to the first check whether its counts are complete.
	windowCheckDelay = 50 * time.Millisecond
	// lateFraction is the fraction of the time until a report is due after which the report is made without the hosts
	// whose counts are missing. The rest of the time is for the calls.
	lateFraction = 0.6
	// keptReports is the number of windows whose reports are kept in the store.
	keptReports = 16
)

// shareInterval returns the mean time between two messages of a host to the leader, for a fleet of a number of hosts.
func shareInterval(hosts int) time.Duration {
	return max(time.Duration(hosts)*shareIntervalPerHost, minShareInterval)
}
