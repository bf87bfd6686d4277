package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
)

// PlatformFaults are the faults that the platform stand-in shows while they
// are set.
type PlatformFaults struct {
	// Down breaks every connection before anything is done.
	Down bool `json:"down,omitzero"`
	// Slow comes before every answer.
	Slow time.Duration `json:"-"`
	// LoseAnswers does what a write asks and then breaks the connection.
	LoseAnswers bool `json:"lose_answers,omitzero"`
}

// Calls counts what the platform was asked.
type Calls struct {
	Reads  int
	Writes int
}

// PlatformConfig is how the platform stand-in behaves.
type PlatformConfig struct {
	// HostLag is the age of the list of hosts.
	HostLag time.Duration
}

// Platform is a stand-in for the platform's service.
type Platform struct {
	config  PlatformConfig
	server  *http.Server
	address string

	mu      sync.Mutex
	rows    map[string]tableclient.Row
	objects map[string][]byte
	hosts   []hostVersion
	faults  PlatformFaults
	calls   Calls
	version uint64
}

type hostVersion struct {
	at    time.Time
	hosts []tableclient.Host
}

// NewPlatform returns a platform that does not listen yet.
func NewPlatform(config PlatformConfig) *Platform {
	return &Platform{config: config, rows: make(map[string]tableclient.Row), objects: make(map[string][]byte)}
}

// Start listens on an address; port 0 picks a free one.
func (p *Platform) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc(tableclient.PathRows, p.list).Methods(http.MethodGet)
	router.HandleFunc(tableclient.PathRows+"/{key}", p.read).Methods(http.MethodGet)
	router.HandleFunc(tableclient.PathTransactions, p.commit).Methods(http.MethodPost)
	router.HandleFunc(tableclient.PathObjects+"{name}", p.getObject).Methods(http.MethodGet)
	router.HandleFunc(tableclient.PathObjects+"{name}", p.putObject).Methods(http.MethodPut)
	router.HandleFunc(tableclient.PathHosts, p.listHosts).Methods(http.MethodGet)
	router.HandleFunc("/standin/faults", p.setFaults).Methods(http.MethodPost)
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: p.withFaults(router), ReadHeaderTimeout: headerTime}
	go serve(p.server, listener)
	return nil
}

// Address is where the platform listens.
func (p *Platform) Address() string { return p.address }

// Close ends the platform.
func (p *Platform) Close() { p.server.Close() }

// SetFaults replaces the faults that the platform shows.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns what the platform was asked so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetHosts changes the list of hosts; readers see it after the lag.
func (p *Platform) SetHosts(hosts []tableclient.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostVersion{time.Now(), hosts})
}

// Commit does a transaction from inside the process.
func (p *Platform) Commit(t tableclient.Transaction) ([]tableclient.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.apply(t)
}

// Put stores an object from inside the process.
func (p *Platform) Put(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = data
}

// withFaults shows the faults around the real work.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			next.ServeHTTP(w, r)
			return
		}
		faults := p.count(r.Method)
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(faults.Slow)
		if faults.LoseAnswers && r.Method != http.MethodGet {
			next.ServeHTTP(discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) count(method string) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if method == http.MethodGet {
		p.calls.Reads++
	} else {
		p.calls.Writes++
	}
	return p.faults
}

// discard swallows an answer that gets lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	row, ok := p.rows[unescape(mux.Vars(r)["key"])]
	p.mu.Unlock()
	if !ok {
		httprelay.WriteJSON(w, http.StatusNotFound, tableclient.Row{})
		return
	}
	httprelay.WriteJSON(w, http.StatusOK, row)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	list := tableclient.RowList{Rows: []tableclient.Row{}}
	p.mu.Lock()
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			list.Rows = append(list.Rows, row)
		}
	}
	p.mu.Unlock()
	sort.Slice(list.Rows, func(i, j int) bool { return list.Rows[i].Key < list.Rows[j].Key })
	httprelay.WriteJSON(w, http.StatusOK, list)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var t tableclient.Transaction
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &t)
	}
	if err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	p.mu.Lock()
	rows, ok := p.apply(t)
	p.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	httprelay.WriteJSON(w, status, tableclient.Conflict{Rows: rows})
}

// apply does a transaction if all its conditions hold; else it returns the rows
// in the way.
func (p *Platform) apply(t tableclient.Transaction) ([]tableclient.Row, bool) {
	rows := []tableclient.Row{}
	for _, condition := range t.If {
		row := p.rows[condition.Key]
		if row.Version != condition.Version {
			row.Key = condition.Key
			if row.Version == 0 {
				row.Value = []byte("null")
			}
			rows = append(rows, row)
		}
	}
	if len(rows) > 0 {
		return rows, false
	}
	for _, write := range t.Set {
		if write.Value.Kind() == 'n' {
			delete(p.rows, write.Key)
			continue
		}
		p.version++
		p.rows[write.Key] = tableclient.Row{Key: write.Key, Version: p.version, Value: write.Value}
	}
	return rows, true
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[unescape(mux.Vars(r)["name"])]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	// A write that fails means that the reader is gone.
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "object broken off", http.StatusBadRequest)
		return
	}
	p.Put(unescape(mux.Vars(r)["name"]), data)
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := tableclient.HostList{Hosts: []tableclient.Host{}}
	for _, version := range p.hosts {
		if time.Since(version.at) >= p.config.HostLag {
			list.Hosts = version.hosts
		}
	}
	httprelay.WriteJSON(w, http.StatusOK, list)
}

// platformFaultsBody is the JSON form of the faults, with the delay as text.
type platformFaultsBody struct {
	Down        bool   `json:"down"`
	Slow        string `json:"slow"`
	LoseAnswers bool   `json:"lose_answers"`
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var body platformFaultsBody
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &body, json.RejectUnknownMembers(true))
	}
	slow := time.Duration(0)
	if err == nil && body.Slow != "" {
		slow, err = time.ParseDuration(body.Slow)
	}
	if err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	p.SetFaults(PlatformFaults{Down: body.Down, Slow: slow, LoseAnswers: body.LoseAnswers})
	httprelay.WriteJSON(w, http.StatusOK, body)
}
