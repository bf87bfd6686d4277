package standin

import (
	"io"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
)

// LoadReport is an engine's report of its own load. It lags.
type LoadReport struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	CacheTokens int       `json:"cache_tokens"`
	At          time.Time `json:"at"`
}

// reportHistory gives reports of some time ago.
type reportHistory struct {
	lag     time.Duration
	frozen  bool
	reports []LoadReport
}

func (h *reportHistory) add(now time.Time, load emulator.Load) {
	if h.frozen {
		return
	}
	h.reports = append(h.reports, LoadReport{load.Running, load.Waiting, load.CacheTokens, now})
	for len(h.reports) > 1 && now.Sub(h.reports[1].At) > h.lag {
		h.reports = h.reports[1:]
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var report LoadReport
	if len(e.reports.reports) > 0 {
		report = e.reports.reports[0]
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// CacheEvents lists what an engine dropped from its prefix cache. It comes
// late, and what nobody asked for in time is missing.
type CacheEvents struct {
	Next    uint64   `json:"next"`
	Evicted []uint64 `json:"evicted"`
}

func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	events := CacheEvents{Evicted: e.model.Evicted()}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// Order is an order to an engine: what it is to serve, and whether it takes
// requests. The fence orders it among others.
type Order struct {
	Fence   uint64 `json:"fence"`
	State   string `json:"state"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitzero"`
	Version string `json:"version,omitzero"`
	Role    string `json:"role,omitzero"`
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &order)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFences && order.Fence < e.order.Fence {
		writeJSON(w, http.StatusConflict, e.order)
		return
	}
	e.order = order
	writeJSON(w, http.StatusOK, e.order)
}

func (e *Engine) showOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.order)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &faults, json.RejectUnknownMembers(true))
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	e.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}
