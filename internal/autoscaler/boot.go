package autoscaler

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

const (
	defaultBootTime = 30 * time.Second // of an instance of unknown type
	// Instances are given so many times their usual boot time, and at least so much more.
	bootTimeFactor = 3
	minBootSlack   = 30 * time.Second
	// bootTimeoutGrowth and maxBootFactor are how the timeout of a type grows while its
	// instances keep exceeding it.
	bootTimeoutGrowth    = 1.25
	maxBootTimeoutFactor = 6
)

// BootTimeout returns how long after its request a machine may take to report: some take
// several times as long as usual, and a few never come up.
func (a *Autoscaler) BootTimeout(m *fleet.Machine) time.Duration {
	boot := defaultBootTime
	if m.InstanceType != nil {
		boot = m.InstanceType.BootTime
	}
	timeout := max(bootTimeFactor*boot, boot+minBootSlack)
	if f := a.bootTimeoutFactors[m.TypeName]; f > 0 {
		timeout = timeline.Seconds(timeout.Seconds() * f)
	}
	return timeout
}

// BootTimedOut raises the timeout of an instance type. When boots take longer for a while,
// giving up each time would never get a machine.
func (a *Autoscaler) BootTimedOut(instanceType string) {
	a.bootTimeoutFactors[instanceType] = min(max(a.bootTimeoutFactors[instanceType], 1)*bootTimeoutGrowth, maxBootTimeoutFactor)
}

// Booted resets the timeout of an instance type.
func (a *Autoscaler) Booted(instanceType string) { delete(a.bootTimeoutFactors, instanceType) }
