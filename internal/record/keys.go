package record

import (
	"strconv"
	"strings"
)

// Keys and key prefixes of the records. A new leader reads everything under LivePrefix.
// The results of finished jobs have their own prefix, so that failover does not read them.
const (
	Root             = "yewpass/"
	LeaderKey        = Root + "leader"
	TermKey          = Root + "term"
	LivePrefix       = Root + "live/"
	JobPrefix        = LivePrefix + "job/"
	MachinePrefix    = LivePrefix + "machine/"
	ProgressPrefix   = LivePrefix + "progress/"
	FinalPrefix      = Root + "final/"
	LeaderlessPrefix = Root + "alone/" // markers of jobs accepted without a leader

	// Schedules are not under LivePrefix, because failover does not wait for them.
	SchedulesPrefix   = Root + "schedule" // common prefix of the two keys below
	SchedulePrefix    = Root + "schedule/"
	ScheduleNumberKey = Root + "schedules" // highest schedule number in use

	// RemovedSchedulePrefix is the prefix of the tombstones of removed schedules. Replicas do not
	// contain them.
	RemovedSchedulePrefix = Root + "removed/"

	// The live configuration is under LivePrefix, so that a leader reads it before it makes
	// any decision.
	ConfigPrefix     = LivePrefix + "config/"
	ConfigHeadKey    = ConfigPrefix + "head"
	ConfigTeamPrefix = ConfigPrefix + "team/"
)

// IsConfigKey reports whether key is under ConfigPrefix.
func IsConfigKey(key string) bool { return strings.HasPrefix(key, ConfigPrefix) }

// IsScheduleKey reports whether key holds a schedule or the highest schedule number.
func IsScheduleKey(key string) bool {
	return strings.HasPrefix(key, SchedulePrefix) || key == ScheduleNumberKey
}

// RemovedScheduleKey returns the key of the tombstone of the schedules with a name.
func RemovedScheduleKey(name string) string { return RemovedSchedulePrefix + name }

// ProgressKey returns the key of the progress record of one chunk of a job's tasks.
func ProgressKey(id string, chunk int) string {
	return ProgressPrefix + id + "/" + strconv.Itoa(chunk)
}

// SplitProgressKey parses a progress key without its ProgressPrefix. The chunk is -1 if the
// key has no valid chunk number.
func SplitProgressKey(name string) (id string, chunk int) {
	id, number, _ := strings.Cut(name, "/")
	chunk, err := strconv.Atoi(number)
	if err != nil {
		chunk = -1
	}
	return id, chunk
}
