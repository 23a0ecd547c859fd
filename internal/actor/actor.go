// Package actor provides goroutines that own their state and communicate by messages. A message is
// a function; the receiving goroutine runs its messages one at a time.
package actor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"
)

// Actor is a goroutine with a mailbox.
type Actor struct {
	name    string
	mailbox chan func()
	done    <-chan struct{}
}

// Start starts an Actor that runs until ctx ends. Its mailbox holds up to size messages.
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
		case message := <-a.mailbox:
			a.handle(message)
		}
	}
}

// handle runs a message. A panic is logged and does not end the process.
func (a *Actor) handle(message func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("message failed", "actor", a.name, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	message()
}

// TrySend sends a message without blocking. It reports whether the mailbox had room for it.
func (a *Actor) TrySend(message func()) bool {
	select {
	case a.mailbox <- message:
		return true
	default:
		return false
	}
}

// Send sends a message. It blocks until the mailbox has room or the actor has ended.
func (a *Actor) Send(message func()) {
	select {
	case a.mailbox <- message:
	case <-a.done:
	}
}

// After sends a message once d has passed.
func (a *Actor) After(d time.Duration, message func()) {
	time.AfterFunc(d, func() { a.Send(message) })
}

// Every sends a message now, and again each time d has passed since it last ran.
func (a *Actor) Every(d time.Duration, message func()) {
	var next func()
	next = func() {
		a.Send(func() {
			message()
			time.AfterFunc(d, next)
		})
	}
	next()
}

// Ask runs f in the actor's goroutine and waits until it replies. ok is false if the mailbox is
// full or the actor ends before that.
func Ask[T any](a *Actor, f func(reply func(T))) (v T, ok bool) {
	replies := make(chan T, 1)
	if !a.TrySend(func() { f(func(v T) { replies <- v }) }) {
		return v, false
	}
	select {
	case v = <-replies:
		return v, true
	case <-a.done:
		return v, false
	}
}
