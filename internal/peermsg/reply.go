package peermsg

import "yewpass/internal/request"

// Reply returns the output that takes the answer to a request to where it came from: this
// controller's own user, or the controller that forwarded it.
func Reply(r request.Request, answer request.Response) any {
	answer.Ref = r.Ref
	if r.From == "" {
		return answer
	}
	return Outgoing{To: r.From, Msg: Message{Kind: Response, Ref: r.Ref, Response: &answer}}
}
