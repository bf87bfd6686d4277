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

// PlatformFaults are the faults that the platform injects while they are set.
type PlatformFaults struct {
	// Down aborts every connection before the call is executed.
	Down bool `json:"down,omitzero"`
	// Slow delays every answer.
	Slow time.Duration `json:"-"`
	// LoseAnswers executes writes and aborts the connection without an answer.
	LoseAnswers bool `json:"lose_answers,omitzero"`
}

// Calls counts the calls to the platform.
type Calls struct {
	Reads  int
	Writes int
}

// PlatformConfig configures a platform.
type PlatformConfig struct {
	// HostLag is the delay after which readers receive a changed list of hosts.
	HostLag time.Duration
}

// Platform is a stand-in for the platform's table service. It is safe for concurrent use.
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

// NewPlatform returns a platform that is not started.
func NewPlatform(config PlatformConfig) *Platform {
	return &Platform{config: config, rows: make(map[string]tableclient.Row), objects: make(map[string][]byte)}
}

// Start listens on an address. Port 0 selects a free port.
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
	p.server = &http.Server{Handler: p.withFaults(router), ReadHeaderTimeout: headerTimeout}
	go serve(p.server, listener)
	return nil
}

// Address returns the address that the platform listens on.
func (p *Platform) Address() string { return p.address }

// Close stops the platform and closes its connections.
func (p *Platform) Close() { p.server.Close() }

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetHosts changes the list of hosts. Readers receive it after HostLag.
func (p *Platform) SetHosts(hosts []tableclient.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostVersion{time.Now(), hosts})
}

// Commit executes a transaction without a call over the network.
func (p *Platform) Commit(t tableclient.Transaction) ([]tableclient.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.apply(t)
}

// Put stores an object without a call over the network.
func (p *Platform) Put(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = data
}

// withFaults injects the faults around the handler.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			next.ServeHTTP(w, r)
			return
		}
		faults := p.countCall(r.Method)
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(faults.Slow)
		if faults.LoseAnswers && r.Method != http.MethodGet {
			next.ServeHTTP(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) countCall(method string) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if method == http.MethodGet {
		p.calls.Reads++
	} else {
		p.calls.Writes++
	}
	return p.faults
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

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

// apply executes a transaction if all its conditions hold. Otherwise it returns the conflicting rows. The caller must
// hold the lock.
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
	// The error is ignored: the caller may have closed the connection.
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "object truncated", http.StatusBadRequest)
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

// platformFaultsBody is the JSON form of PlatformFaults, with the delay as text.
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
