package engined

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a token of a prompt.
const bytesPerToken = 4

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat-completions request that the engine uses.
type ChatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	Messages  []Message `json:"messages"`
	User      string    `json:"user,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Block is one message of a prompt in the prefix cache. Its hash covers the
// prompt from the beginning to the end of the message.
type Block struct {
	Hash   uint64
	Tokens int
}

// Blocks returns the blocks of a prompt.
func Blocks(model string, messages []Message) []Block {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	out := make([]Block, 0, len(messages))
	for _, m := range messages {
		fmt.Fprintf(digest, "|%s:%d:%s", m.Role, len(m.Content), m.Content)
		out = append(out, Block{
			Hash:   digest.Sum64(),
			Tokens: 1 + len(m.Content)/bytesPerToken,
		})
	}
	return out
}

func promptTokens(prompt []Block) int {
	total := 0
	for _, b := range prompt {
		total += b.Tokens
	}
	return total
}

// Word returns token i of the answer to a prompt. Every engine gives the same
// answer to the same prompt, so a caller can check what it received.
func Word(prompt []Block, i int) string {
	var seed uint64
	if n := len(prompt); n > 0 {
		seed = prompt[n-1].Hash
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%x.%d", seed, i))
	return fmt.Sprintf("w%06x ", sum&0xffffff)
}

// Answer returns the whole answer of a number of tokens to a prompt.
func Answer(prompt []Block, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Word(prompt, i))
	}
	return b.String()
}

func decode(data []byte) (ChatRequest, error) {
	var in ChatRequest
	if err := json.Unmarshal(data, &in); err != nil {
		return ChatRequest{}, fmt.Errorf("chat request: %w", err)
	}
	return in, nil
}
