package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// answerTokens is the length of each answer. It is long enough for the text to identify the version that generated it.
const answerTokens = 16

// answer is the answer to one chat as the caller observed it.
type answer struct {
	sentAt, firstTokenAt, endedAt time.Time // firstTokenAt is zero if no token arrived
	prompt                        string    // as rendered by the entry
	text                          string
	complete                      bool
	errorKind                     string // error kind of the entry, "connection", or empty for a complete answer
}

// matchesVersion reports whether v generated the answer, or the part of it that arrived. It is false for an empty answer.
func (a *answer) matchesVersion(v endpoint.Version) bool {
	return a.text != "" && strings.HasPrefix(standin.Answer(v, a.prompt, answerTokens), a.text)
}

// callers sends chats at a fixed rate, to the entries in turn, until it is stopped.
type callers struct {
	client       *client
	promptPrefix string
	stop         context.CancelFunc
	pending      sync.WaitGroup

	mu      sync.Mutex
	answers []*answer
}

// startCallers starts to send chats. The prompts start with promptPrefix.
func (c *client) startCallers(ctx context.Context, promptPrefix string) *callers {
	ctx, stop := context.WithCancel(ctx)
	started := &callers{client: c, promptPrefix: promptPrefix, stop: stop}
	started.pending.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / c.flags.Rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			started.pending.Go(func() { started.sendChat(context.WithoutCancel(ctx), i) })
		}
	})
	return started
}

// stopAndWait stops sending, waits for the pending answers and returns all answers.
func (s *callers) stopAndWait() []*answer {
	s.stop()
	s.pending.Wait()
	return s.answers
}

func (s *callers) sendChat(ctx context.Context, i int) {
	content := fmt.Sprintf("%s %d: when is the hose ready?", s.promptPrefix, i)
	a := &answer{sentAt: time.Now(), prompt: "user: " + content + "\n"}
	s.requestChat(ctx, s.client.flags.Entries[i%len(s.client.flags.Entries)], content, a)
	a.endedAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
}

// requestChat sends one chat to entry and reads the streamed answer into a.
func (s *callers) requestChat(ctx context.Context, entry, content string, a *answer) {
	body, _ := json.Marshal(map[string]any{"model": s.client.flags.Service, "stream": true, "max_tokens": answerTokens,
		"messages": []map[string]string{{"role": "user", "content": content}}}) // cannot fail for these types
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		a.errorKind = "connection"
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.client.flags.Key)
	resp, err := s.client.http.Do(req)
	if err != nil {
		a.errorKind = "connection"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		a.readLine(lines.Text())
	}
	if !a.complete && a.errorKind == "" {
		a.errorKind = "connection"
	}
}

// readLine processes one line of an event stream or of the body of an error.
func (a *answer) readLine(line string) {
	data := strings.TrimSpace(strings.TrimPrefix(line, "data:"))
	if data == "[DONE]" {
		a.complete = true
		return
	}
	var body struct {
		errkind.Body
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &body) != nil {
		return // an empty line or a comment
	}
	if body.Error.Kind != "" {
		a.errorKind = string(body.Error.Kind)
	}
	for _, c := range body.Choices {
		if c.Delta.Content != "" && a.firstTokenAt.IsZero() {
			a.firstTokenAt = time.Now()
		}
		a.text += c.Delta.Content
	}
}
