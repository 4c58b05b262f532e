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
	// BlockTokens is the number of tokens of a cache block.
	BlockTokens = 512

	// DefaultMaxTokens is the length of an answer without max_tokens.
	DefaultMaxTokens = 16

	roleAssistant = "assistant"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns a string content as it is, and any other content in one form
// that does not depend on white space or the order of fields.
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

// block is one entry of a prompt's prefix chain: its key depends on all blocks
// before it.
type block struct {
	key    uint64
	tokens int
}

// prompt is what the engine derives from a request.
type prompt struct {
	digest string
	blocks []block
	tokens int
	// first and total bound the tokens that the answer holds; those before first
	// are in the final partial assistant message.
	first int
	total int
}

func parseRequest(body []byte) (chatRequest, prompt, error) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, prompt{}, errors.Wrap(err, "body is not a chat-completions request")
	}
	if len(r.Messages) == 0 {
		return r, prompt{}, errors.New("messages is empty")
	}
	return r, newPrompt(r), nil
}

func newPrompt(r chatRequest) prompt {
	p := prompt{total: DefaultMaxTokens}
	if r.MaxTokens != nil {
		p.total = max(*r.MaxTokens, 0)
	}
	asked := r.Messages
	if last := len(asked) - 1; r.ContinueFinalMessage && asked[last].Role == roleAssistant {
		p.first = len(strings.Fields(asked[last].text()))
		asked = asked[:last]
	}
	p.total = max(p.total, p.first)
	p.digest = digestOf(r, asked)
	if len(r.HashIDs) > 0 {
		p.blocks, p.tokens = blocksOfIDs(r.HashIDs, r.InputLength)
		return p
	}
	p.blocks, p.tokens = blocksOfMessages(r.Messages)
	return p
}

func digestOf(r chatRequest, asked []message) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %v", r.Model, r.HashIDs)
	for _, m := range asked {
		fmt.Fprintf(h, " %q %q", m.Role, m.text())
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// blocksOfIDs chains the blocks that the request names. The last one is short
// when inputLength is no multiple of BlockTokens.
func blocksOfIDs(ids []int64, inputLength int) ([]block, int) {
	tokens := inputLength
	if tokens <= 0 {
		tokens = len(ids) * BlockTokens
	}
	blocks := make([]block, 0, len(ids))
	key, left := uint64(0), tokens
	for _, id := range ids {
		size := min(left, BlockTokens)
		left -= size
		key = chain(key, strconv.FormatInt(id, 10))
		blocks = append(blocks, block{key: key, tokens: size})
	}
	return blocks, tokens
}

// blocksOfMessages starts a new block with each message, so that the messages
// of a returning chat are the same blocks as before.
func blocksOfMessages(messages []message) ([]block, int) {
	var blocks []block
	key, tokens := uint64(0), 0
	for _, m := range messages {
		words := strings.Fields(m.text())
		for len(words) > 0 {
			size := min(len(words), BlockTokens)
			key = chain(key, m.Role+" "+strings.Join(words[:size], " "))
			blocks = append(blocks, block{key: key, tokens: size})
			words = words[size:]
			tokens += size
		}
	}
	return blocks, tokens
}

func chain(previous uint64, content string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(previous, 16) + " " + content)
}

// TokenAt returns token i, counted from 0, of the answer to the prompt with the
// digest. It holds no white space.
func TokenAt(promptDigest string, i int) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(promptDigest+" "+strconv.Itoa(i))))
}

// Answer returns the tokens that a whole answer to the chat-completions request
// body holds, in order; the text of the answer joins them with single spaces.
// With continue_final_message the tokens of the final partial assistant message
// count towards max_tokens and are left out.
func Answer(body []byte) ([]string, error) {
	_, p, err := parseRequest(body)
	if err != nil {
		return nil, err
	}
	return p.answer(), nil
}

// PromptDigest returns the digest that the tokens of the answer follow from.
func PromptDigest(body []byte) (string, error) {
	_, p, err := parseRequest(body)
	return p.digest, err
}

func (p prompt) answer() []string {
	tokens := make([]string, 0, p.total-p.first)
	for i := p.first; i < p.total; i++ {
		tokens = append(tokens, TokenAt(p.digest, i))
	}
	return tokens
}
