package schedule

import (
	"fmt"
	"hash/fnv"
	"time"

	"yewpass/internal/spec"
)

// MaxNumber is the largest number of a schedule: it takes 8 digits of a job ID.
const MaxNumber = 99_999_999

// nominalFormat is the form of a nominal time in a job ID: to the minute, which
// is unique because a schedule runs at most once a minute.
const nominalFormat = "200601021504"

// requestModulus limits the hash in a requested job's ID to 15 digits.
const requestModulus = 1_000_000_000_000_000

// JobID returns the ID of an occurrence's job: the schedule's number, which is
// never reused, followed by the nominal time. Because it depends on nothing else,
// an occurrence that is submitted twice, for instance by two leaders, is one job.
func JobID(number uint64, nominal time.Time) string {
	return fmt.Sprintf("%s%08d%s", spec.IDPrefix, number, nominal.Format(nominalFormat))
}

// UnknownID returns what JobID would for a schedule that has no number yet, with
// question marks in place of the number.
func UnknownID(nominal time.Time) string {
	return spec.IDPrefix + "????????" + nominal.Format(nominalFormat)
}

// RequestID returns the ID of the job that a request to run the schedule now
// creates. The same request yields the same ID, so a repeated request creates no
// second job. The ID has more digits than an occurrence's and never equals one.
func RequestID(number uint64, request string) string {
	hash := fnv.New64a()
	hash.Write([]byte(request))
	return fmt.Sprintf("%s%08d9%015d", spec.IDPrefix, number, hash.Sum64()%requestModulus)
}
