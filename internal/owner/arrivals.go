package owner

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// arrivals records which tries of a request have arrived at their endpoints, and informs the budget which retries may still
// do so. An endpoint that stands still reads a try when it goes on, also after this host has closed the connection; by
// then another try may have been answered, and the first one is the repeat. It is used by the goroutine of the request.
type arrivals struct {
	budget Budget
	group  string
	// held is the number of counted retries that are neither settled nor left to the budget.
	held int
	// current is the try that has been sent and has not ended, if isOpen is set.
	current request.Send
	isOpen  bool
	// hasArrived is set once a try has arrived. Until then, abandoned holds the tries that were given up.
	hasArrived bool
	abandoned  []request.Send
}

// reserve counts a retry if the budget allows one more after a try at an endpoint.
func (a *arrivals) reserve(endpoint string, mayArrive, hasBegun bool) bool {
	silent := ""
	if mayArrive {
		silent = endpoint
	}
	if !a.budget.Reserve(a.group, silent, hasBegun) {
		return false
	}
	a.held++
	return true
}

// release takes back a retry that was counted and is not sent.
func (a *arrivals) release() {
	a.held--
	a.budget.Release(a.group)
}

func (a *arrivals) sent(endpoint string, now time.Time) {
	a.current, a.isOpen = request.Send{Endpoint: endpoint, At: now}, true
}

// answered records that the endpoint of the current try has begun to answer it.
func (a *arrivals) answered() {
	if a.isOpen {
		a.budget.RecordAnswer(a.group, a.current)
		a.ended()
	}
}

// ended records that the current try has arrived or never will.
func (a *arrivals) ended() {
	if !a.isOpen {
		return
	}
	a.isOpen = false
	if a.hasArrived {
		a.settle()
		return
	}
	a.hasArrived = true
	for _, send := range a.abandoned {
		a.leave(1, send)
	}
	a.abandoned = nil
}

// abandon records that the current try is given up and may still arrive.
func (a *arrivals) abandon() {
	if !a.isOpen {
		return
	}
	a.isOpen = false
	if a.hasArrived {
		a.leave(1, a.current)
		return
	}
	a.abandoned = append(a.abandoned, a.current)
}

// end is called when the request has ended.
func (a *arrivals) end() {
	a.abandon()
	if len(a.abandoned) > 0 {
		a.leave(len(a.abandoned)-1, a.abandoned...)
	}
	for a.held > 0 {
		a.release()
	}
}

func (a *arrivals) settle() {
	if a.held > 0 {
		a.held--
		a.budget.Settle(a.group)
	}
}

func (a *arrivals) leave(retries int, sends ...request.Send) {
	retries = min(retries, a.held)
	a.held -= retries
	a.budget.Leave(a.group, retries, sends)
}
