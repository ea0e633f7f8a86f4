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

// bytesPerToken is the assumed mean length of a token in a request body. It is
// used to estimate the number of tokens in a prompt.
const bytesPerToken = 4

// chatBody holds the fields of a chat-completions request that routing uses. The
// body itself is sent to the target unchanged.
type chatBody struct {
	Model    fleet.Model       `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// newChatExchange validates a chat-completions request and builds its call. Routing
// uses the hash of the first message as the prompt prefix. A request for a stream
// with the header Last-Event-ID resumes the response after that event.
func (s *Service) newChatExchange(r *http.Request, account *config.Account, body []byte) (*exchange, *call.Error) {
	cfg := s.config.Current()
	var in chatBody
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, requestError(call.CodeBadRequest, "body is not a chat-completions request: "+err.Error(), err)
	}
	if len(in.Messages) == 0 {
		return nil, requestError(call.CodeBadRequest, "messages: want at least one", nil)
	}
	if cfg.Model(in.Model) == nil && len(cfg.TargetsOfModel(in.Model)) == 0 {
		return nil, requestError(call.CodeNotFound, "model: no such model", nil)
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
		e = x.resumeAfter(last, account.Name)
	}
	return x, e
}

// resumeAfter sets the exchange to continue the response after the event with ID
// last, which the caller has received. The ID must be of a request of the account.
func (x *exchange) resumeAfter(last string, account fleet.Account) *call.Error {
	from, err := answers.ParsePosition(last)
	if err != nil || !isIssuedTo(from.Request, account) {
		return requestError(call.CodeBadRequest, HeaderLastEventID+": want the ID of an event sent to this client account", err)
	}
	x.from = from
	x.req.ID = from.Request
	x.req.ResumeFrom = from.Offset
	return nil
}
