package peermsg

import "yewpass/internal/request"

// Reply returns the output that sends a response to the origin of the request: a user of this
// controller or the controller that forwarded it.
func Reply(r request.Request, answer request.Response) any {
	answer.Ref = r.Ref
	if r.From == "" {
		return answer
	}
	return Outgoing{To: r.From, Msg: Message{Kind: Response, Ref: r.Ref, Response: &answer}}
}
