package recovery

import "yewpass/internal/replica"

// ListPage is a part of a list of records under a prefix.
type ListPage struct {
	Prefix        string
	From          string // after this key
	To            string // up to this one; "" for the last part
	Listed        []replica.Record
	AskedRevision uint64 // the service's revision that was known when the part was asked for
}

// MissingKeys returns the keys whose records a copy has and a list lacks, or has from before:
// those that the service was known to have when it was asked. busy tells of keys whose change
// is on its way, or may have been made without our knowing.
func MissingKeys(c *replica.Replica, p ListPage, busy func(key string) bool) (keys []string) {
	listed := make(map[string]uint64, len(p.Listed))
	for _, r := range p.Listed {
		listed[r.Key] = r.Rev
	}
	for _, key := range c.Keys(p.Prefix) {
		r, _ := c.Get(key)
		if key <= p.From || p.To != "" && key > p.To || r.Rev == 0 || r.Rev > p.AskedRevision || busy(key) {
			continue
		}
		if rev, ok := listed[key]; !ok || rev < r.Rev {
			keys = append(keys, key)
		}
	}
	return keys
}
