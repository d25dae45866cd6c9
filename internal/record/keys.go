package record

import (
	"strconv"
	"strings"
)

// The keys and prefixes of the records. Everything that a new leader reads lies under
// LivePrefix; how jobs ended lies apart, so that a failover never reads it.
const (
	Root             = "yewpass/"
	LeaderKey        = Root + "leader"
	TermKey          = Root + "term"
	LivePrefix       = Root + "live/"
	JobPrefix        = LivePrefix + "job/"
	MachinePrefix    = LivePrefix + "machine/"
	ProgressPrefix   = LivePrefix + "progress/"
	FinalPrefix      = Root + "final/"
	LeaderlessPrefix = Root + "alone/" // notes of jobs that were accepted without a leader

	// Schedules lie apart: a failover does not wait for them.
	SchedulesPrefix   = Root + "schedule" // of everything below
	SchedulePrefix    = Root + "schedule/"
	ScheduleNumberKey = Root + "schedules" // the numbers given to schedules

	// The configuration lies with the live records, so that no leader decides before it
	// has read it.
	ConfigPrefix     = LivePrefix + "config/"
	ConfigHeadKey    = ConfigPrefix + "head"
	ConfigTeamPrefix = ConfigPrefix + "team/"
)

// IsConfigKey reports whether a key belongs to the live configuration.
func IsConfigKey(key string) bool { return strings.HasPrefix(key, ConfigPrefix) }

// IsScheduleKey reports whether a key belongs to the schedules.
func IsScheduleKey(key string) bool {
	return strings.HasPrefix(key, SchedulePrefix) || key == ScheduleNumberKey
}

// ProgressKey returns the key of the progress of one chunk of a job.
func ProgressKey(id string, chunk int) string {
	return ProgressPrefix + id + "/" + strconv.Itoa(chunk)
}

// SplitProgressKey returns the job and the chunk that a key names, without ProgressPrefix. The
// chunk is -1 if the key has none.
func SplitProgressKey(name string) (id string, chunk int) {
	id, number, _ := strings.Cut(name, "/")
	chunk, err := strconv.Atoi(number)
	if err != nil {
		chunk = -1
	}
	return id, chunk
}
