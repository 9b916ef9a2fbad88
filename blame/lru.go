package blame

import (
	"container/list"
)

// lru is a bounded map that evicts the least recently used key.
type lru[T any] struct {
	maxItems int
	items    map[string]*list.Element
	order    *list.List
}

type lruItem[T any] struct {
	key   string
	value T
}

func newLRU[T any](maxItems int) *lru[T] {
	return &lru[T]{maxItems: maxItems, items: make(map[string]*list.Element), order: list.New()}
}

func (l *lru[T]) get(key string) (value T, ok bool) {
	element, ok := l.items[key]
	if !ok {
		return value, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*lruItem[T]).value, true
}

func (l *lru[T]) put(key string, value T) {
	if element, ok := l.items[key]; ok {
		element.Value.(*lruItem[T]).value = value
		l.order.MoveToFront(element)
		return
	}
	l.items[key] = l.order.PushFront(&lruItem[T]{key: key, value: value})
	if l.order.Len() > l.maxItems {
		l.remove(l.order.Back().Value.(*lruItem[T]).key)
	}
}

func (l *lru[T]) remove(key string) {
	if element, ok := l.items[key]; ok {
		l.order.Remove(element)
		delete(l.items, key)
	}
}

func (l *lru[T]) each(f func(T)) {
	for element := l.order.Front(); element != nil; element = element.Next() {
		f(element.Value.(*lruItem[T]).value)
	}
}
