package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/machine/ident"
)

// answer makes the frames of one answer when they are asked for.
type answer struct {
	request ident.Request
	version declaration.Ref
	// words is the number of words, the head included.
	words  int
	prompt int
	sum    uint64
}

func newAnswer(request ident.Request, version declaration.Ref, prompt string) answer {
	a := answer{request: request, version: version, prompt: 1 + len(prompt)/4}
	tokens := defaultTokens
	for _, field := range strings.Fields(prompt) {
		_, _ = fmt.Sscanf(field, "tokens=%d", &tokens) // other words leave it alone
	}
	a.words = tokens + 1
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // a hash never fails to take bytes
	a.sum = h.Sum64()
	return a
}

// word returns the i-th word. The head names the version.
func (a answer) word(i int) string {
	if i == 0 {
		return "<" + a.version.String() + ">"
	}
	return fmt.Sprintf(" w%x", (a.sum>>((i-1)%48))&0xfff)
}

// frames returns the number of frames: the words, one with the usage, and the end.
func (a answer) frames() int { return a.words + 2 }

// frame returns the data of the i-th server-sent event.
func (a answer) frame(i int) string {
	switch i {
	case a.words:
		usage := &chat.Usage{PromptTokens: a.prompt, CompletionTokens: a.words}
		return a.encode(chat.Choice{Delta: &chat.Message{}, FinishReason: "stop"}, usage)
	case a.words + 1:
		return chat.StreamEnd
	}
	return a.encode(chat.Choice{Delta: &chat.Message{Role: "assistant", Content: a.word(i)}}, nil)
}

func (a answer) encode(choice chat.Choice, usage *chat.Usage) string {
	raw, _ := json.Marshal(chat.Answer{ // strings and numbers always encode
		ID: string(a.request), Object: "chat.completion.chunk", Model: a.version.String(),
		Choices: []chat.Choice{choice}, Usage: usage,
	})
	return string(raw)
}
