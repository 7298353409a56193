// Command standins-2 plays the cases of the second review: it starts the processes of
// masticroad as the deploy file says, plays stand-ins of workers, consumers and the
// operator against them, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// failure is the panic of a case that could not run.
type failure struct{ text string }

func fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

var cases = map[string]func(*world) bool{
	"leave":   playLeave,
	"gang":    playGang,
	"pending": playPending,
	"lasting": playLasting,
	"flap":    playFlap,
	"cancel":  playCancel,
}

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER PROGRAM")
		os.Exit(couldnt)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldnt)
	}
	os.Exit(playCase(play, os.Args[2], os.Args[3]))
}

func playCase(play func(*world) bool, folder, program string) (code int) {
	w, err := newWorld(filepath.Join(folder, "record.txt"), program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer w.close()
	defer func() {
		switch x := recover().(type) {
		case nil:
		case failure:
			w.note("the case could not run: %s", x.text)
			code = couldnt
		default:
			w.note("panic: %v\n%s", x, debug.Stack())
			code = couldnt
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		w.note("the case was ended before its time")
		w.close()
		os.Exit(couldnt)
	}()
	if play(w) {
		w.note("RESULT: the rule was broken")
		return broken
	}
	w.note("RESULT: the rule held")
	return held
}
