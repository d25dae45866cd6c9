// Package rpc holds what calls to all outside services have in common.
package rpc

// Outcome says what is known of a call to an outside service.
type Outcome int

// Outcomes. Anything malformed or unexpected counts as Unknown, never as OK.
const (
	OK       Outcome = iota
	Conflict         // a transaction's condition failed
	NotFound         // 404
	Refused          // known not to have been executed: 429, 503
	Invalid          // 400
	Unknown          // may have been executed, or may be later
)
