package schedule

import (
	"fmt"
	"hash/fnv"
	"time"

	"yewpass/internal/spec"
)

// MaxNumber is the largest number of a schedule. It has 8 digits in a job ID.
const MaxNumber = 99_999_999

// nominalFormat is the format of a nominal time in a job ID. Minutes are precise
// enough because a schedule runs at most once a minute.
const nominalFormat = "200601021504"

// requestModulus limits the hash in a requested job's ID to 15 digits.
const requestModulus = 1_000_000_000_000_000

// JobID returns the ID of an occurrence's job: the schedule's number, which is never reused,
// and the nominal time. It is deterministic, so that submitting an occurrence twice, for
// instance by two leaders, is idempotent.
func JobID(number uint64, nominal time.Time) string {
	return fmt.Sprintf("%s%08d%s", spec.IDPrefix, number, nominal.Format(nominalFormat))
}

// PlaceholderJobID returns the job ID of an occurrence of a schedule that has no number yet,
// with question marks in place of the number.
func PlaceholderJobID(nominal time.Time) string {
	return spec.IDPrefix + "????????" + nominal.Format(nominalFormat)
}

// RequestJobID returns the ID of the job for a user's request to run the schedule now. It is
// derived from the request ID, so that a retry creates no second job. It has more digits than
// the result of JobID, so the two never collide.
func RequestJobID(number uint64, request string) string {
	hash := fnv.New64a()
	hash.Write([]byte(request))
	return fmt.Sprintf("%s%08d9%015d", spec.IDPrefix, number, hash.Sum64()%requestModulus)
}
