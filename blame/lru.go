package blame

import (
	"container/list"
)

// lru is a bounded map that evicts the least recently used key.
type lru[T any] struct {
	max   int
	items map[string]*list.Element
	order *list.List
}

type lruItem[T any] struct {
	key   string
	value T
}

func newLRU[T any](maxItems int) *lru[T] {
	return &lru[T]{max: maxItems, items: make(map[string]*list.Element), order: list.New()}
}

func (l *lru[T]) get(key string) (value T, ok bool) {
	e, ok := l.items[key]
	if !ok {
		return value, false
	}
	l.order.MoveToFront(e)
	return e.Value.(*lruItem[T]).value, true
}

func (l *lru[T]) put(key string, value T) {
	if e, ok := l.items[key]; ok {
		e.Value.(*lruItem[T]).value = value
		l.order.MoveToFront(e)
		return
	}
	l.items[key] = l.order.PushFront(&lruItem[T]{key: key, value: value})
	if l.order.Len() > l.max {
		l.remove(l.order.Back().Value.(*lruItem[T]).key)
	}
}

func (l *lru[T]) remove(key string) {
	if e, ok := l.items[key]; ok {
		l.order.Remove(e)
		delete(l.items, key)
	}
}

func (l *lru[T]) each(f func(T)) {
	for e := l.order.Front(); e != nil; e = e.Next() {
		f(e.Value.(*lruItem[T]).value)
	}
}
