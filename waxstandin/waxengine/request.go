package waxengine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// BlockTokens is the number of tokens in a block of the prefix cache.
	BlockTokens = 512

	// DefaultMaxTokens is the length of a response, in tokens, if the request has no
	// max_tokens.
	DefaultMaxTokens = 16

	roleAssistant = "assistant"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns string content unchanged. It returns other content as canonical JSON,
// which does not depend on white space and the order of fields.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var v any
	if json.Unmarshal(m.Content, &v) != nil {
		return string(m.Content)
	}
	canonical, err := json.Marshal(v)
	if err != nil {
		return string(m.Content)
	}
	return string(canonical)
}

type chatRequest struct {
	Model                string    `json:"model"`
	Messages             []message `json:"messages"`
	Stream               bool      `json:"stream"`
	MaxTokens            *int      `json:"max_tokens"`
	Priority             int       `json:"priority"`
	ContinueFinalMessage bool      `json:"continue_final_message"`
	Chat                 string    `json:"chat"`
	HashIDs              []int64   `json:"hash_ids"`
	InputLength          int       `json:"input_length"`
}

// block is a block of a prompt. Its key is a hash of its content and all preceding
// blocks.
type block struct {
	key    uint64
	tokens int
}

// prompt is the prompt of a request and the range of tokens in its response. tokens is
// the length of the prompt.
type prompt struct {
	digest string
	blocks []block
	tokens int
	// firstToken and endToken are the half-open range of token indexes in the response.
	// Tokens before firstToken are in the final partial assistant message.
	firstToken int
	endToken   int
}

func parseRequest(body []byte) (chatRequest, prompt, error) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, prompt{}, errors.Wrap(err, "decode chat-completions request")
	}
	if len(r.Messages) == 0 {
		return r, prompt{}, errors.New("messages is empty")
	}
	return r, newPrompt(r), nil
}

func newPrompt(r chatRequest) prompt {
	p := prompt{endToken: DefaultMaxTokens}
	if r.MaxTokens != nil {
		p.endToken = max(*r.MaxTokens, 0)
	}
	messages := r.Messages
	if last := len(messages) - 1; r.ContinueFinalMessage && messages[last].Role == roleAssistant {
		p.firstToken = len(strings.Fields(messages[last].text()))
		messages = messages[:last]
	}
	p.endToken = max(p.endToken, p.firstToken)
	p.digest = promptDigest(r, messages)
	if len(r.HashIDs) > 0 {
		p.blocks, p.tokens = blocksFromIDs(r.HashIDs, r.InputLength)
		return p
	}
	p.blocks, p.tokens = blocksFromMessages(r.Messages)
	return p
}

func promptDigest(r chatRequest, messages []message) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %v", r.Model, r.HashIDs)
	for _, m := range messages {
		fmt.Fprintf(h, " %q %q", m.Role, m.text())
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// blocksFromIDs returns the blocks with the given IDs and their number of tokens, which is
// inputLength if that is positive. The last block is partial if inputLength is not a
// multiple of BlockTokens.
func blocksFromIDs(ids []int64, inputLength int) ([]block, int) {
	tokens := inputLength
	if tokens <= 0 {
		tokens = len(ids) * BlockTokens
	}
	blocks := make([]block, 0, len(ids))
	key, remaining := uint64(0), tokens
	for _, id := range ids {
		size := min(remaining, BlockTokens)
		remaining -= size
		key = chainKey(key, strconv.FormatInt(id, 10))
		blocks = append(blocks, block{key: key, tokens: size})
	}
	return blocks, tokens
}

// blocksFromMessages splits the messages into blocks and returns their number of tokens.
// Each message starts a new block, so that the next request of a chat has the same
// blocks for the earlier messages.
func blocksFromMessages(messages []message) ([]block, int) {
	var blocks []block
	key, tokens := uint64(0), 0
	for _, m := range messages {
		words := strings.Fields(m.text())
		for len(words) > 0 {
			size := min(len(words), BlockTokens)
			key = chainKey(key, m.Role+" "+strings.Join(words[:size], " "))
			blocks = append(blocks, block{key: key, tokens: size})
			words = words[size:]
			tokens += size
		}
	}
	return blocks, tokens
}

// chainKey returns the key of a block from that of its predecessor, 0 for none.
func chainKey(previous uint64, content string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(previous, 16) + " " + content)
}

// TokenAt returns token i, counted from 0, of the response to the prompt with the given
// digest. Tokens contain no white space.
func TokenAt(promptDigest string, i int) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(promptDigest+" "+strconv.Itoa(i))))
}

// ExpectedTokens returns the tokens of a complete response to a chat-completions request
// with the given body. The response joins them with single spaces. With
// continue_final_message, the tokens of the final partial assistant message count towards
// max_tokens but are not included.
//
// Errors: the body is not a valid request.
func ExpectedTokens(body []byte) ([]string, error) {
	_, p, err := parseRequest(body)
	if err != nil {
		return nil, err
	}
	return p.expectedTokens(), nil
}

// PromptDigest returns the digest of the prompt of a chat-completions request with the
// given body. The digest determines the tokens of the response.
//
// Errors: the body is not a valid request.
func PromptDigest(body []byte) (string, error) {
	_, p, err := parseRequest(body)
	return p.digest, err
}

func (p prompt) expectedTokens() []string {
	tokens := make([]string, 0, p.endToken-p.firstToken)
	for i := p.firstToken; i < p.endToken; i++ {
		tokens = append(tokens, TokenAt(p.digest, i))
	}
	return tokens
}
