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

// The names of the faults.
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

// Faults lists all faults.
var Faults = []Fault{EngineCrash, EngineSlow, EngineDrop, PlatformDown, PlatformSlow, AnswerLost, HostKill, HostDrain, EndpointOut}

// ParseFault returns the fault of a name.
func ParseFault(name string) (Fault, error) {
	if slices.Contains(Faults, Fault(name)) {
		return Fault(name), nil
	}
	var names []string
	for _, fault := range Faults {
		names = append(names, string(fault))
	}
	return "", merry.Errorf("unknown fault %q, expected one of: %s", name, strings.Join(names, ", "))
}

// faultyEngine is the engine to which the faults of engines and endpoints apply.
const faultyEngine = "voyage-1"

// slowPlatformDelay is the delay of the platform's answers while PlatformSlow is in effect.
const slowPlatformDelay = 1500 * time.Millisecond

// injectFaults starts all faults after a third of the run and ends them after two thirds. It returns notes on
// what was done.
func injectFaults(ctx context.Context, c *Cluster, faults []Fault, length time.Duration) []string {
	var notes []string
	if !sleep(ctx, length/3) {
		return nil
	}
	for _, fault := range faults {
		notes = append(notes, c.beginFault(ctx, fault))
	}
	sleep(ctx, length/3)
	for _, fault := range faults {
		if err := c.endFault(fault); err != nil {
			notes = append(notes, fmt.Sprintf("%s: not ended: %v", fault, err))
		}
	}
	return notes
}

// sleep waits for a time. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// beginFault starts a fault and returns a note on what was done.
func (c *Cluster) beginFault(ctx context.Context, fault Fault) string {
	engine := c.Engines[faultyEngine]
	switch fault {
	case EngineCrash:
		engine.Crash()
		return faultyEngine + " crashed"
	case EngineSlow:
		engine.SetFaults(standin.EngineFaults{Slow: 4})
		return faultyEngine + " became four times as slow"
	case EngineDrop:
		engine.SetFaults(standin.EngineFaults{DropAfterReading: true})
		c.Services["booking"].SetFaults(standin.ServiceFaults{DropAfterReading: true})
		return faultyEngine + " and booking dropped connections after reading"
	case PlatformDown:
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
		return "the platform went down"
	case PlatformSlow:
		c.Platform.SetFaults(standin.PlatformFaults{Slow: slowPlatformDelay})
		return "the platform became slow"
	case AnswerLost:
		c.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: true})
		return "the platform lost the answers to writes"
	case HostKill:
		c.Kill(c.Hosts()[c.Config.Hosts-1])
		return "the last host was killed"
	case HostDrain:
		aborted, err := c.Drain(context.WithoutCancel(ctx), c.Hosts()[c.Config.Hosts-1])
		if err != nil {
			return "the last host's graceful stop failed: " + err.Error()
		}
		return fmt.Sprintf("the last host stopped gracefully and aborted %d requests", aborted)
	case EndpointOut:
		if err := c.SetEndpointState(faultyEngine, settings.StateOut); err != nil {
			return "the change failed: " + err.Error()
		}
		return faultyEngine + " was taken out of use"
	}
	return ""
}

// endFault ends a temporary fault. Killed or drained hosts and endpoints out of use stay so.
func (c *Cluster) endFault(fault Fault) error {
	switch fault {
	case EngineCrash:
		return c.Engines[faultyEngine].Start("")
	case EngineSlow, EngineDrop:
		c.Engines[faultyEngine].SetFaults(standin.EngineFaults{})
		c.Services["booking"].SetFaults(standin.ServiceFaults{})
	case PlatformDown, PlatformSlow, AnswerLost:
		c.Platform.SetFaults(standin.PlatformFaults{})
	}
	return nil
}
