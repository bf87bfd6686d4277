package placement

import "oxbowslip.dev/oxbowslip/internal/admission"

// ticket is one granted request. It implements owner.Ticket.
type ticket struct {
	placer   *Placer
	endpoint string
	// unprocessed is the part of the prompt, in tokens, that the endpoint has not processed.
	unprocessed int
}

// Preempted returns nil: a placer takes no endpoint back.
func (t *ticket) Preempted() <-chan struct{} { return nil }

// Started does nothing: the request was counted when it was granted.
func (t *ticket) Started() {}

// FirstToken notes that the whole prompt was processed.
func (t *ticket) FirstToken() {
	p := t.placer
	p.mu.Lock()
	p.view.loads.Processed(t.endpoint, t.unprocessed)
	t.unprocessed = 0
	p.mu.Unlock()
	p.changed()
}

// Progress does nothing: only prompts and open requests count as load.
func (t *ticket) Progress(int) {}

// Finished frees the slot.
func (t *ticket) Finished(admission.Result, int) {
	p := t.placer
	p.mu.Lock()
	p.view.loads.End(t.endpoint, t.unprocessed)
	t.unprocessed = 0
	p.mu.Unlock()
	p.changed()
}
