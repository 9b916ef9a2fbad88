package standin

import (
	"context"
	"io"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// tokenStream reads one stream of an engine.
type tokenStream struct {
	ctx    context.Context
	engine *Engine
	task   *task
	next   int // index of the next token
}

// Recv implements endpoint.TokenStream.
func (s *tokenStream) Recv() (endpoint.Token, error) {
	for {
		token, changed, err := s.poll()
		if changed == nil {
			return token, err
		}
		select {
		case <-s.ctx.Done():
			return endpoint.Token{}, s.ctx.Err()
		case <-changed:
		}
	}
}

// poll returns the next token or the error that ends the stream. If neither is available yet, it returns the channel to
// wait on.
func (s *tokenStream) poll() (endpoint.Token, <-chan struct{}, error) {
	if err := s.ctx.Err(); err != nil {
		return endpoint.Token{}, nil, err
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	t := s.task
	if i := s.next - t.firstIndex; i < len(t.tokens) {
		s.next++
		return t.tokens[i], nil, nil
	}
	if t.err != nil {
		return endpoint.Token{}, nil, t.err
	}
	if t.done {
		return endpoint.Token{}, nil, io.EOF
	}
	return endpoint.Token{}, t.changed, nil
}

// Usage implements endpoint.TokenStream.
func (s *tokenStream) Usage() endpoint.Usage {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	t := s.task
	return endpoint.Usage{PromptTokens: t.promptTokens + importedTokens(t), CachedTokens: t.cachedTokens,
		CompletionTokens: t.firstIndex + len(t.tokens)}
}

// Close implements endpoint.TokenStream.
func (s *tokenStream) Close() error { return nil }
