package recordcodec

import (
	"encoding/json"

	"yewpass/internal/record"
)

type leaderJSON struct {
	Type      string `json:"type"` // typeLeader or typeTerm
	Node      string `json:"node,omitempty"`
	Term      uint64 `json:"term"`
	ProcessID uint64 `json:"life,omitempty"`
	Era       uint64 `json:"era,omitempty"`
}

func decodeLeader(_ string, data []byte) any {
	var l leaderJSON
	if json.Unmarshal(data, &l) != nil || l.Node == "" || l.Term == 0 || l.Term > record.MaxTerm {
		return nil
	}
	return &record.Leader{Node: l.Node, Term: l.Term, ProcessID: l.ProcessID, Era: l.Era}
}

func decodeTerm(_ string, data []byte) any {
	var l leaderJSON
	if json.Unmarshal(data, &l) != nil || l.Term == 0 || l.Term > record.MaxTerm {
		return nil
	}
	return &record.Term{Term: l.Term, Era: l.Era}
}
