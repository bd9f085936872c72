// Package chat holds the OpenAI chat format as callers and model engines speak it.
package chat

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Names of the headers that callers, instances and backend servers exchange.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderSession        = "Dotterelwell-Session"
	HeaderVersion        = "Dotterelwell-Version"
	HeaderAttempts       = "Dotterelwell-Attempts"
	HeaderCost           = "Dotterelwell-Cost"
	HeaderEngineLoad     = "Engine-Load"
	HeaderNotRun         = "Not-Run"
	HeaderLastEventID    = "Last-Event-Id"
)

// ContentTypeStream is the media type of a streamed answer.
const ContentTypeStream = "text/event-stream"

// StreamEnd is the data of the last frame of a whole streamed answer.
const StreamEnd = "[DONE]"

// maxMessages bounds the messages of one request.
const maxMessages = 4096

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request asks for a completion. Fields that it does not name are kept in Extra.
type Request struct {
	Model    string                     `json:"model"`
	Messages []Message                  `json:"messages"`
	Stream   bool                       `json:"stream,omitempty"`
	Extra    map[string]json.RawMessage `json:"-"`
}

// requestFields avoids recursion in Request's own codec.
type requestFields Request

// UnmarshalJSON decodes and checks a request.
func (r *Request) UnmarshalJSON(raw []byte) error {
	var fields requestFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &fields.Extra); err != nil {
		return err
	}
	for _, known := range []string{"model", "messages", "stream"} {
		delete(fields.Extra, known)
	}
	*r = Request(fields)
	if r.Model == "" {
		return errors.New("model is empty")
	}
	if len(r.Messages) == 0 || len(r.Messages) > maxMessages {
		return errors.Newf("messages has %d entries, not 1 to %d", len(r.Messages), maxMessages)
	}
	return nil
}

// MarshalJSON encodes the request with its extra fields.
func (r Request) MarshalJSON() ([]byte, error) {
	all := make(map[string]any, len(r.Extra)+3)
	for name, value := range r.Extra {
		all[name] = value
	}
	all["model"] = r.Model
	all["messages"] = r.Messages
	if r.Stream {
		all["stream"] = true
	}
	return json.Marshal(all)
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Answer is a whole answer, or one frame of a streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Text returns the content of the first choice, whole or of one frame.
func (a *Answer) Text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	if m := a.Choices[0].Message; m != nil {
		return m.Content
	}
	if d := a.Choices[0].Delta; d != nil {
		return d.Content
	}
	return ""
}

// LoadState is a backend server's own view of its readiness.
type LoadState string

// States that a backend server reports.
const (
	LoadCold    LoadState = "cold"
	LoadWarm    LoadState = "warm"
	LoadLeaving LoadState = "leaving"
)

// Load is a backend server's load report; it may lag.
type Load struct {
	State   LoadState `json:"state"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Limit   int       `json:"limit"`
}
