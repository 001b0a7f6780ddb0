// Command review2 plays the cases of the second independent review: clients, replicas and the
// platform's store are stand-ins, the nodes are processes of the program under test.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// playTime is the longest time that a play may take.
const playTime = 115 * time.Second

// The nodes end with the thread that starts them.
func init() { runtime.LockOSThread() }

func contextFor(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func main() {
	dir, err := os.MkdirTemp("", "review2")
	check(err)
	cleanup = dir
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-ends:
		case <-time.After(playTime):
		}
		tell("cannot run: the play was ended")
		exit(2)
	}()
	if path := os.Getenv("REVIEW_RECORD"); path != "" {
		record, err = os.Create(path)
		check(err)
	}
	cases := map[string]func(string) bool{"budget": budget, "lost": lost, "limit": limit, "drain": drain, "sessions": sessions}
	play, ok := cases[os.Args[len(os.Args)-1]]
	if !ok {
		tell("usage: review2 CASE")
		exit(2)
	}
	if play(dir) {
		exit(1)
	}
	exit(0)
}
