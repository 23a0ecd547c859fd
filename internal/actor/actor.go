// Package actor runs goroutines that own their state and are spoken to by
// messages. A message is a function run by the owner, one at a time.
package actor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"
)

// Actor is one mailbox with one owner.
type Actor struct {
	name    string
	mailbox chan func()
	done    <-chan struct{}
}

// Start runs an actor with a mailbox of the given size until ctx ends.
func Start(ctx context.Context, name string, size int) *Actor {
	a := &Actor{name: name, mailbox: make(chan func(), size), done: ctx.Done()}
	go a.loop()
	return a
}

func (a *Actor) loop() {
	for {
		select {
		case <-a.done:
			return
		case f := <-a.mailbox:
			a.handle(f)
		}
	}
}

// handle keeps one bad message from ending the process.
func (a *Actor) handle(f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("message failed", "actor", a.name, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// Post leaves a message if the mailbox has room.
func (a *Actor) Post(f func()) bool {
	select {
	case a.mailbox <- f:
		return true
	default:
		return false
	}
}

// Send leaves a message, waiting for room.
func (a *Actor) Send(f func()) {
	select {
	case a.mailbox <- f:
	case <-a.done:
	}
}

// After leaves a message once d has passed.
func (a *Actor) After(d time.Duration, f func()) { time.AfterFunc(d, func() { a.Send(f) }) }

// Every leaves a message now and then every d, skipping beats while an
// earlier one is still waiting.
func (a *Actor) Every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		a.Send(func() {
			f()
			time.AfterFunc(d, tick)
		})
	}
	tick()
}

// Ask runs f inside the actor and waits for its result; ok is false when the
// mailbox is full or the actor has ended.
func Ask[T any](a *Actor, f func(reply func(T))) (v T, ok bool) {
	ch := make(chan T, 1)
	if !a.Post(func() { f(func(v T) { ch <- v }) }) {
		return v, false
	}
	select {
	case v = <-ch:
		return v, true
	case <-a.done:
		return v, false
	}
}
