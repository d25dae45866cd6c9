// Package rpc holds what calls to all outside services have in common.
package rpc

// Outcome tells what is known of a call to an outside service.
type Outcome int

// The outcomes. Anything malformed or unexpected counts as Unknown, never as OK.
const (
	OK       Outcome = iota
	Conflict         // a condition of a transaction did not hold
	NotFound         // 404
	Refused          // known not to have been executed: 429, 503
	Invalid          // 400
	Unknown          // may have been executed, or may be executed later
)

var outcomeNames = [...]string{"ok", "conflict", "not found", "refused", "invalid", "unknown"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "no outcome"
	}
	return outcomeNames[o]
}
