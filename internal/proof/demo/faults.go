package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Fault is the name of a fault that a demonstration can inject.
type Fault string

// The faults.
const (
	EngineCrash  Fault = "engine-crash"
	EngineSlow   Fault = "engine-slow"
	EngineDrop   Fault = "engine-drop"
	PlatformDown Fault = "platform-down"
	PlatformSlow Fault = "platform-slow"
	HostKill     Fault = "host-kill"
	HostDrain    Fault = "host-drain"
	EndpointOut  Fault = "endpoint-out"
	AnswerLost   Fault = "answer-lost"
)

// Faults lists all faults by name.
var Faults = []Fault{EngineCrash, EngineSlow, EngineDrop, PlatformDown, PlatformSlow, AnswerLost, HostKill, HostDrain, EndpointOut}

// ParseFault checks a fault's name.
func ParseFault(name string) (Fault, error) {
	if slices.Contains(Faults, Fault(name)) {
		return Fault(name), nil
	}
	var names []string
	for _, fault := range Faults {
		names = append(names, string(fault))
	}
	return "", merry.Errorf("no fault %q; the faults are %s", name, strings.Join(names, ", "))
}

// victim is the engine that faults are shown on.
const victim = "voyage-1"

// slowPlatform is the delay of a slow platform.
const slowPlatform = 1500 * time.Millisecond

// inject shows each fault from a third of the run on, for a third of it.
func inject(ctx context.Context, c *Cluster, faults []Fault, length time.Duration) []string {
	var notes []string
	if !sleep(ctx, length/3) {
		return nil
	}
	for _, fault := range faults {
		notes = append(notes, c.begin(ctx, fault))
	}
	sleep(ctx, length/3)
	for _, fault := range faults {
		if err := c.end(fault); err != nil {
			notes = append(notes, fmt.Sprintf("%s: not ended: %v", fault, err))
		}
	}
	return notes
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// begin starts a fault and says what was done.
func (c *Cluster) begin(ctx context.Context, fault Fault) string {
	engine := c.Engines[victim]
	switch fault {
	case EngineCrash:
		engine.Crash()
		return victim + " crashed"
	case EngineSlow:
		engine.SetFaults(standin.EngineFaults{Slow: 4})
		return victim + " became four times as slow"
	case EngineDrop:
		engine.SetFaults(standin.EngineFaults{DropAfterReading: true})
		c.Services["booking"].SetFaults(standin.ServiceFaults{DropAfterReading: true})
		return victim + " and booking dropped connections after reading"
	case PlatformDown:
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
		return "the platform went down"
	case PlatformSlow:
		c.Platform.SetFaults(standin.PlatformFaults{Slow: slowPlatform})
		return "the platform became slow"
	case AnswerLost:
		c.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: true})
		return "the platform lost the answers to writes"
	case HostKill:
		c.Kill(c.Hosts()[c.Config.Hosts-1])
		return "the last host was killed"
	case HostDrain:
		cut, err := c.Drain(context.WithoutCancel(ctx), c.Hosts()[c.Config.Hosts-1])
		if err != nil {
			return "the last host's planned stop failed: " + err.Error()
		}
		return fmt.Sprintf("the last host stopped as planned and cut %d requests", cut)
	case EndpointOut:
		if err := c.SetEndpointState(victim, settings.StateOut); err != nil {
			return "the change failed: " + err.Error()
		}
		return victim + " was taken out of use"
	}
	return ""
}

// end ends a fault that passes; others last.
func (c *Cluster) end(fault Fault) error {
	switch fault {
	case EngineCrash:
		return c.Engines[victim].Start("")
	case EngineSlow, EngineDrop:
		c.Engines[victim].SetFaults(standin.EngineFaults{})
		c.Services["booking"].SetFaults(standin.ServiceFaults{})
	case PlatformDown, PlatformSlow, AnswerLost:
		c.Platform.SetFaults(standin.PlatformFaults{})
	}
	return nil
}
