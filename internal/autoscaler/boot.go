package autoscaler

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

const (
	defaultBootTime = 30 * time.Second // for instances of unknown type
	// The boot timeout is bootTimeFactor times the boot time of the type, and at least minBootSlack
	// longer than it.
	bootTimeFactor = 3
	minBootSlack   = 30 * time.Second
	// Each boot that times out multiplies the timeout of its type by bootTimeoutGrowth, up to a
	// total factor of maxBootTimeoutFactor.
	bootTimeoutGrowth    = 1.25
	maxBootTimeoutFactor = 6
)

// BootTimeout returns how long after the request a machine may take to send its first heartbeat
// before it is considered failed. Some machines take several times as long as usual to boot, and a
// few never come up.
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

// BootTimedOut raises the boot timeout of an instance type. Otherwise, in a period of slow boots,
// every new instance would be released before it is up.
func (a *Autoscaler) BootTimedOut(instanceType string) {
	a.bootTimeoutFactors[instanceType] = min(max(a.bootTimeoutFactors[instanceType], 1)*bootTimeoutGrowth, maxBootTimeoutFactor)
}

// Booted resets the boot timeout of an instance type.
func (a *Autoscaler) Booted(instanceType string) { delete(a.bootTimeoutFactors, instanceType) }
