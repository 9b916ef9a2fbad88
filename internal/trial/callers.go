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

// answerTokens is the length of each answer: enough for its words to tell which version gave it.
const answerTokens = 16

// answer is what a caller saw of one chat.
type answer struct {
	sent, first, last time.Time // first: zero without a token
	prompt            string    // as the entry renders it
	text              string
	whole             bool
	kind              string // error kind, "connection" or empty
}

// from reports whether v gave the answer, or the part of it that arrived.
func (a *answer) from(v endpoint.Version) bool {
	return a.text != "" && strings.HasPrefix(standin.Answer(v, a.prompt, answerTokens), a.text)
}

// callers send chats at a fixed rate to the entries in turn until stopped.
type callers struct {
	client *client
	salt   string
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	answers []*answer
}

func (c *client) startCallers(ctx context.Context, salt string) *callers {
	ctx, stop := context.WithCancel(ctx)
	s := &callers{client: c, salt: salt, stop: stop}
	s.done.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / c.flags.Rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			s.done.Go(func() { s.chat(context.WithoutCancel(ctx), i) })
		}
	})
	return s
}

// finish stops sending, waits for the answers and returns them.
func (s *callers) finish() []*answer {
	s.stop()
	s.done.Wait()
	return s.answers
}

func (s *callers) chat(ctx context.Context, i int) {
	content := fmt.Sprintf("%s %d: when is the hose ready?", s.salt, i)
	a := &answer{sent: time.Now(), prompt: "user: " + content + "\n"}
	s.ask(ctx, s.client.flags.Entries[i%len(s.client.flags.Entries)], content, a)
	a.last = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
}

func (s *callers) ask(ctx context.Context, entry, content string, a *answer) {
	body, _ := json.Marshal(map[string]any{"model": s.client.flags.Service, "stream": true, "max_tokens": answerTokens,
		"messages": []map[string]string{{"role": "user", "content": content}}}) // maps of strings always encode
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		a.kind = "connection"
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.client.flags.Key)
	resp, err := s.client.http.Do(req)
	if err != nil {
		a.kind = "connection"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		a.line(lines.Text())
	}
	if !a.whole && a.kind == "" {
		a.kind = "connection"
	}
}

// line takes one line of an event stream or of an error answer.
func (a *answer) line(line string) {
	data := strings.TrimSpace(strings.TrimPrefix(line, "data:"))
	if data == "[DONE]" {
		a.whole = true
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
		a.kind = string(body.Error.Kind)
	}
	for _, c := range body.Choices {
		if c.Delta.Content != "" && a.first.IsZero() {
			a.first = time.Now()
		}
		a.text += c.Delta.Content
	}
}
