package recovery

import "yewpass/internal/replica"

// ListPage is one page of a listing of the store's records under a prefix.
type ListPage struct {
	Prefix          string
	From            string // exclusive lower bound of the page
	To              string // inclusive upper bound; "" for the last page
	Listed          []replica.Record
	RequestRevision uint64 // highest known store revision when the page was requested
}

// MissingKeys returns the keys of records that the replica has and the page lacks or has at an
// older revision. It skips records newer than the request, and keys with an uncommitted change,
// which is in flight or has an unknown outcome.
func MissingKeys(r *replica.Replica, page ListPage, uncommitted func(key string) bool) (keys []string) {
	listed := make(map[string]uint64, len(page.Listed))
	for _, rec := range page.Listed {
		listed[rec.Key] = rec.Rev
	}
	for _, key := range r.Keys(page.Prefix) {
		rec, _ := r.Get(key)
		if key <= page.From || page.To != "" && key > page.To || rec.Rev == 0 || rec.Rev > page.RequestRevision || uncommitted(key) {
			continue
		}
		if rev, ok := listed[key]; !ok || rev < rec.Rev {
			keys = append(keys, key)
		}
	}
	return keys
}
