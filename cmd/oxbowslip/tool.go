package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/google/uuid"

	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// tool runs the sub-commands against one host.
type tool struct {
	client *operator.Client
	key    string
	json   bool
}

// print prints a value as JSON with the option --json, and as a table otherwise.
func (t *tool) print(value any, rows func(w *tabwriter.Writer)) error {
	if t.json {
		return printJSON(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func printJSON(value any) error {
	data, err := json.Marshal(value, strictjson.DurationMarshaler, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(data))
	return err
}

// printListener prints what the connections of a listener take, and the clients that take most.
func printListener(w io.Writer, l *operator.Listener) {
	fmt.Fprintf(w, "listener %s: %d connections take %s\n", l.Name, l.Connections, memoryText(l))
	for _, c := range l.Clients {
		fmt.Fprintf(w, "  %s: %d connections, %.1f MB, the oldest for %s, %s\n", c.Address, c.Connections, megabytes(c.Memory), c.Oldest.Round(time.Second), c.State)
	}
	fmt.Fprintln(w)
}

// memoryText describes the memory that the connections of a listener take.
func memoryText(l *operator.Listener) string {
	if l.MemoryLimit == 0 {
		return fmt.Sprintf("%.1f MB", megabytes(l.Memory))
	}
	return fmt.Sprintf("%.1f of %.1f MB", megabytes(l.Memory), megabytes(l.MemoryLimit))
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

func (t *tool) status(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	return t.print(s, func(w *tabwriter.Writer) {
		state := "ready"
		if !s.Ready {
			state = "NOT READY: " + s.Problem
		}
		fmt.Fprintf(w, "host %s in %s, version %s: %s\n", s.Host, s.Zone, s.Version, state)
		fmt.Fprintf(w, "settings revision %d, %d requests open\n\n", s.Revision, s.Open)
		if s.Hosts > 0 {
			fmt.Fprintf(w, "%d live hosts in its membership; %d endpoints accept requests (directory revision %d), ejected: %s\n\n",
				s.Hosts, s.Endpoints, s.Directory, strings.Join(s.Ejected, ", "))
			if s.Era > 0 {
				fmt.Fprintf(w, "the store is in era %d: it was restored from an older copy\n\n", s.Era)
			}
		}
		if f := s.Freshness; f != nil {
			fmt.Fprintf(w, "confirmed by the store: settings %s, endpoints %s; reads the store for others: %t\n\n",
				ageText(f.Settings), ageText(f.Endpoints), f.ReadsStore)
		}
		if l := s.Leader; l != nil {
			fmt.Fprintf(w, "leader: %s, token %d, lease ends in %s; usage reported up to window %d\n\n", cmp.Or(l.Host, "none"), l.Token, l.Left.Round(time.Millisecond), l.Reported)
		}
		for _, p := range s.Poison {
			fmt.Fprintf(w, "does not send %s %s for %s: %d endpoints crashed while running it\n\n", poisonText(&p), p.Key, p.Left.Round(time.Second), len(p.Endpoints))
		}
		for _, p := range s.Pushback {
			fmt.Fprintf(w, "endpoint %s %s\n\n", p.Endpoint, pushbackText(&p))
		}
		if s.LostPaths > 0 {
			fmt.Fprintf(w, "has lost its own path to %d endpoints, their calls go through other hosts\n\n", s.LostPaths)
		}
		if s.Tunnels > 0 {
			fmt.Fprintf(w, "connects other hosts to endpoints: %d connections\n\n", s.Tunnels)
		}
		for _, m := range s.MixedServices {
			fmt.Fprintf(w, "endpoints of service %s run several software versions: %s\n\n", m.Service, versionsText(m.Versions))
		}
		for _, o := range s.OverShare {
			fmt.Fprintf(w, "workspace %s is over its share of service %s: it asks for %.0f prompt tokens a second, its share is %.0f\n\n", cmp.Or(o.Workspace, "(public calls)"), o.Service, o.Asked, o.Share)
		}
		for i := range s.Listeners {
			printListener(w, &s.Listeners[i])
		}
		fmt.Fprintln(w, "shard\tscheduler\twaiting\trunning\tejected")
		for _, shard := range s.Shards {
			scheduler, ok := s.Schedulers[shard.Name]
			if !ok {
				scheduler = "no request yet"
			}
			if scheduler != s.Host {
				fmt.Fprintf(w, "%s\t%s\t\t\t\n", shard.Name, scheduler)
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", shard.Name, scheduler, shard.Waiting, shard.Running, ejectedText(&shard))
		}
		fmt.Fprintln(w, "\nrefusals since the start")
		for _, reason := range slices.Sorted(maps.Keys(s.Refusals)) {
			fmt.Fprintf(w, "%s\t%d\n", reason, s.Refusals[reason])
		}
	})
}

// poisonText names what a verdict is on.
func poisonText(p *operator.PoisonRequest) string {
	if p.Part {
		return "requests with the prompt part"
	}
	return "the request"
}

// versionsText lists software versions with the number of endpoints that run each.
func versionsText(versions map[string]int) string {
	var texts []string
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		texts = append(texts, fmt.Sprintf("%s at %d", version, versions[version]))
	}
	return strings.Join(texts, ", ")
}

// pushbackText describes how an endpoint restricts the requests that it accepts.
func pushbackText(p *operator.EndpointPushback) string {
	var texts []string
	if p.Leaving {
		texts = append(texts, "leaves")
	}
	if p.Rest > 0 {
		texts = append(texts, "wants no requests from this host for "+p.Rest.Round(time.Millisecond).String())
	}
	if p.Rejects > 0 {
		texts = append(texts, fmt.Sprintf("rejects %.0f %%", 100*p.Rejects))
	}
	if p.Fails > 0 {
		texts = append(texts, fmt.Sprintf("fails %.0f %% more than its peers", 100*p.Fails))
	}
	if p.Limit != nil {
		texts = append(texts, fmt.Sprintf("takes %g requests a second from all hosts", *p.Limit))
	}
	if p.Slowness > 0 {
		texts = append(texts, fmt.Sprintf("takes %.1f times as long as its peers", p.Slowness))
	}
	return strings.Join(texts, ", ")
}

// ageText formats the time since the last confirmation, which is negative if there was none.
func ageText(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(time.Millisecond).String() + " ago"
}

func ejectedText(shard *operator.ShardStatus) string {
	var list []string
	for _, e := range shard.Endpoints {
		if e.Ejected != "" {
			list = append(list, e.ID+" ("+string(e.Ejected)+")")
		}
	}
	return strings.Join(list, ", ")
}

func (t *tool) explain(ctx context.Context, id string) error {
	r, err := t.client.Explain(ctx, id)
	if err != nil {
		return err
	}
	return t.print(r, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "request %s of %s, class %s (tier %d), shard %s, accepted by %s\n\n", r.ID, r.Workspace, r.Class, r.Tier, r.Shard, r.Host)
		fmt.Fprintln(w, "time\tstep\tendpoint\treason\tfigures")
		for _, step := range r.Steps {
			figures := ""
			if f := step.Figures; f != nil {
				figures = fmt.Sprintf("waited %s, %d ahead, %d below; endpoint %d of %.1f, first token expected in %s, %d prompt tokens cached, %d answer tokens expected",
					f.Waited.Round(time.Millisecond), f.Ahead, f.WaitingBelow, f.InFlight, f.Limit,
					f.PredictedFirstToken.Round(time.Millisecond), f.CachedTokens, f.AnswerTokens) + shareText(f)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", step.At.Format("15:04:05.000"), step.What, step.Endpoint, step.Reason, figures)
		}
	})
}

func (t *tool) get(ctx context.Context) error {
	s, err := t.client.Settings(ctx)
	if err != nil {
		return err
	}
	return printJSON(s)
}

func (t *tool) effective(ctx context.Context, workspace, class string) error {
	list, err := t.client.Effective(ctx, workspace, class)
	if err != nil {
		return err
	}
	return t.print(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "value\teffective\tfrom")
		for _, e := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\n", e.Field, e.Value, e.Origin)
		}
	})
}

func (t *tool) check(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := settings.Decode(path, data); err != nil {
		return err
	}
	fmt.Println(path + " is a valid settings tree")
	return nil
}

func (t *tool) history(ctx context.Context, last int) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "revision\twho\twhen\tID\tpatch")
	for revision := s.Revision; revision > 1 && s.Revision-revision < uint64(last); revision-- {
		c, err := t.client.Change(ctx, revision)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", c.Revision, c.Who, c.At.Format("2006-01-02 15:04:05"), c.ID, c.Patch)
	}
	return w.Flush()
}

func (t *tool) apply(ctx context.Context, command *applyCommand) error {
	patch := []byte(command.Patch)
	if path, ok := strings.CutPrefix(command.Patch, "@"); ok {
		var err error
		if patch, err = os.ReadFile(path); err != nil {
			return err
		}
	}
	return t.change(ctx, operator.ChangeRequest{ID: command.ID, Base: command.Base, Patch: patch}, command.Hosts)
}

// statePatch is a merge patch that sets the state of an endpoint.
type statePatch struct {
	Endpoints map[string]stateValue `json:"endpoints"`
}

type stateValue struct {
	State settings.EndpointState `json:"state"`
}

func (t *tool) setEndpointState(ctx context.Context, command *stateCommand, state settings.EndpointState) error {
	patch, err := json.Marshal(statePatch{map[string]stateValue{command.Name: {state}}})
	if err != nil {
		return err
	}
	return t.change(ctx, operator.ChangeRequest{Patch: patch}, command.Hosts)
}

// change sends a change and waits until it is in force on the given hosts.
func (t *tool) change(ctx context.Context, request operator.ChangeRequest, hosts []string) error {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if request.Base == 0 {
		s, err := t.client.Status(ctx)
		if err != nil {
			return err
		}
		request.Base = s.Revision
	}
	start := time.Now()
	result, err := t.client.Apply(ctx, request)
	if err != nil {
		return fmt.Errorf("change %s: %w", request.ID, err)
	}
	fmt.Printf("change %s accepted as revision %d\n", request.ID, result.Revision)
	return t.waitInForce(ctx, result.Revision, hosts, start)
}

// The time-out of waiting for a change to be in force on hosts, and the interval between queries of their status.
const (
	inForceTimeout      = 15 * time.Second
	inForcePollInterval = 50 * time.Millisecond
)

func (t *tool) waitInForce(ctx context.Context, revision uint64, hosts []string, start time.Time) error {
	if len(hosts) == 0 {
		return nil
	}
	lagging := hosts
	for time.Since(start) < inForceTimeout {
		lagging = slices.DeleteFunc(slices.Clone(lagging), func(host string) bool {
			s, err := operator.NewClient(host, t.key).Status(ctx)
			return err == nil && s.Revision >= revision
		})
		if len(lagging) == 0 {
			fmt.Printf("in force on %d of %d hosts after %.1f s\n", len(hosts), len(hosts), time.Since(start).Seconds())
			return nil
		}
		time.Sleep(inForcePollInterval)
	}
	return fmt.Errorf("in force on %d of %d hosts after %s; these lag: %s",
		len(hosts)-len(lagging), len(hosts), inForceTimeout, strings.Join(lagging, ", "))
}

// poison lists the requests that the host does not send because they crash endpoints.
func (t *tool) poison(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	return t.print(s.Poison, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "request key\tfor\tendpoints that crashed while running it")
		for _, p := range s.Poison {
			fmt.Fprintf(w, "%s\t%s\t%s\n", p.Key, p.Left.Round(time.Second), strings.Join(p.Endpoints, ", "))
		}
	})
}

func (t *tool) endpoints(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	return t.print(s.Shards, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "endpoint\tshard\tscheduler\tin flight\tlimit\tbetween tokens\tstate")
		for _, shard := range s.Shards {
			for _, e := range shard.Endpoints {
				state := "in"
				switch {
				case e.Ejected != "":
					state = "ejected: " + string(e.Ejected)
				case e.Probing:
					state = "probing"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%s\t%s\n", e.ID, shard.Name, s.Schedulers[shard.Name], e.InFlight, e.Limit,
					e.Between.Round(time.Millisecond), state)
			}
		}
	})
}
