// Package rpc defines the outcomes of calls to external services.
package rpc

// Outcome is what the caller knows about a call to an external service.
type Outcome int

// Outcomes. A malformed or unexpected response is Unknown, never OK.
const (
	OK       Outcome = iota // executed
	Conflict                // a condition of a transaction failed
	NotFound                // 404
	Refused                 // not executed: 429 or 503
	Invalid                 // 400
	Unknown                 // may have been executed or may still be executed
)

var outcomeNames = [...]string{"ok", "conflict", "not found", "refused", "invalid", "unknown"}

// String returns the name of the outcome for logs, or "no outcome" for an undefined value.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "no outcome"
	}
	return outcomeNames[o]
}
