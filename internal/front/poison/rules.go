package poison

import "time"

const (
	// probeTimeout bounds the connection attempt that finds out whether an endpoint that broke a call has crashed. It
	// is long enough for a lost packet to be sent again.
	probeTimeout = 1500 * time.Millisecond
	// probeValidity is how long the crash of an endpoint is taken as the cause of other calls that it broke. Calls
	// that were running when it crashed break within milliseconds.
	probeValidity = time.Second
	// removalWait is how long the entry of an endpoint may remain after its end: three missed heartbeats and the time until
	// hosts hear of it. removalCheckInterval is the time between two looks.
	removalWait          = 5 * time.Second
	removalCheckInterval = 50 * time.Millisecond
	// maxUnsettled bounds the calls at one endpoint that wait for the removal of its entry.
	maxUnsettled = 256
)

const (
	// reportRepeats is the number of reports that list a crash, since datagrams may be lost. With 1 in 40 lost, 1
	// crash in 64,000 does not reach a peer.
	reportRepeats = 3
	// maxReported bounds the crashes of one report to 6 KB (TestReportBytes). When a zone crashes at once, the
	// remaining crashes follow in the next reports.
	maxReported = 256
	// minReportInterval and reportIntervalPerHost determine the time between two reports of a host. It grows with the
	// number of peers, so that a host's traffic does not grow with the square of the fleet size. The first report is
	// sent immediately.
	minReportInterval     = 50 * time.Millisecond
	reportIntervalPerHost = 2 * time.Millisecond
)

// reportInterval returns the shortest time between two reports of a host in a fleet of a number of hosts.
func reportInterval(hosts int) time.Duration {
	return max(time.Duration(hosts)*reportIntervalPerHost, minReportInterval)
}

const (
	// announcerCount is the number of hosts, the first in the order that all hosts share, that announce all verdicts
	// periodically, and read them from the store once they know their place in the order. Hosts that missed a
	// verdict, because they joined later or were isolated, receive it from the announcers.
	announcerCount = 2
	// replierCount is the mean number of hosts that send a verdict to a peer which reports a crash for a request that
	// is already poison. With 6, no host does so in 1 case in 400.
	replierCount = 6
	// soundSenders is the number of hosts that tell a host that joins which parts have been answered.
	soundSenders = 3
	// maxClockDifference is the most by which two hosts may differ in the store's time.
	maxClockDifference = time.Second
	// announceInterval is the time between two announcements. It is a third of the time that a host must be in
	// contact with others before its guarantees apply.
	announceInterval = time.Second
	// maxAnnounced bounds the verdicts of one announcement to 9 KB (TestReportBytes); further verdicts go into
	// further messages.
	maxAnnounced = 256
	// storeInterval is the time between two rounds of reading and writing verdicts in the store, also after a failed
	// call.
	storeInterval = 500 * time.Millisecond
	// firstReadInterval is the time between two looks whether this host reads the store first.
	firstReadInterval = 10 * time.Millisecond
)

// answerIntervalOf returns the interval within which a fleet of a number of hosts repeats the report on an answer.
func answerIntervalOf(hosts int) time.Duration { return (reportRepeats + 1) * reportInterval(hosts) }
