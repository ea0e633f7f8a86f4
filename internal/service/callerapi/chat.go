package callerapi

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/answers"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// bytesPerToken estimates the length of a prompt in tokens.
const bytesPerToken = 4

// chatBody is the part of a chat-completions request that routing needs.
type chatBody struct {
	Model    fleet.Model       `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// chatExchange checks a chat request.
func (s *Service) chatExchange(r *http.Request, account *config.Account, body []byte) (*exchange, *call.Error) {
	cfg := s.config.Current()
	var in chatBody
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, problem(call.CodeBadRequest, "body is not a chat-completions request: "+err.Error(), err)
	}
	if len(in.Messages) == 0 {
		return nil, problem(call.CodeBadRequest, "messages: want at least one", nil)
	}
	if cfg.Model(in.Model) == nil && len(cfg.TargetsOfModel(in.Model)) == 0 {
		return nil, problem(call.CodeNotFound, "model: no such model", nil)
	}
	req, e := s.newRequest(call.KindChat, r, account, cfg.Deadlines.Chat.Std())
	if e != nil {
		return nil, e
	}
	req.Model = in.Model
	req.Adapter = r.Header.Get(HeaderAdapter)
	req.Version = r.Header.Get(HeaderVersion)
	req.Chat = r.Header.Get(HeaderChat)
	req.Prefix = xxhash.Sum64(in.Messages[0])
	req.PromptTokens = len(body) / bytesPerToken
	req.Body = body
	req.Repeatable = true
	x := &exchange{req: req, stream: in.Stream, from: answers.Position{Request: req.ID}}
	if last := r.Header.Get(HeaderLastEventID); last != "" && in.Stream {
		e = x.resume(last, account.Name)
	}
	return x, e
}

// resume makes the exchange go on behind an event that the caller has.
func (x *exchange) resume(last string, account fleet.Account) *call.Error {
	from, err := answers.ParsePosition(last)
	if err != nil || !belongs(from.Request, account) {
		return problem(call.CodeBadRequest, HeaderLastEventID+": want the ID of an event of this client account", err)
	}
	x.from = from
	x.req.ID = from.Request
	x.req.ResumeFrom = from.Offset
	return nil
}
