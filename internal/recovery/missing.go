package recovery

import "yewpass/internal/replica"

// ListPage is one page of a listing of the records under a prefix.
type ListPage struct {
	Prefix        string
	From          string // keys after this one
	To            string // up to this one; "" for the last page
	Listed        []replica.Record
	AskedRevision uint64 // the store's highest known revision when the page was requested
}

// MissingKeys returns the keys of records that the replica has and the page lacks or has at
// an older revision. It leaves out records newer than the request for the page, and keys for
// which uncommitted reports that a change is in flight or may have been applied unnoticed.
func MissingKeys(r *replica.Replica, page ListPage, uncommitted func(key string) bool) (keys []string) {
	listed := make(map[string]uint64, len(page.Listed))
	for _, rec := range page.Listed {
		listed[rec.Key] = rec.Rev
	}
	for _, key := range r.Keys(page.Prefix) {
		rec, _ := r.Get(key)
		if key <= page.From || page.To != "" && key > page.To || rec.Rev == 0 || rec.Rev > page.AskedRevision || uncommitted(key) {
			continue
		}
		if rev, ok := listed[key]; !ok || rev < rec.Rev {
			keys = append(keys, key)
		}
	}
	return keys
}
