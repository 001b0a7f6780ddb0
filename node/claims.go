package node

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/caller"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// finishTimeout bounds how long a node tries to record an outcome.
const finishTimeout = 10 * time.Minute

// Claims runs commands with a key at most once. The log decides which node may
// forward a command; a claim never moves to another node, so that a paused node
// cannot run a command a second time. It implements caller.Claims.
type Claims struct {
	deps *Deps

	mu sync.Mutex
	// running are the commands that this node is forwarding now or whose outcome
	// it has and the log does not yet have.
	running map[fold.CommandKey]*running
	// wait counts the proposals on the way, for a graceful stop.
	wait sync.WaitGroup
}

// running is a command at the node that claimed it.
type running struct {
	done chan struct{}
	// outcome and err are set before done is closed.
	outcome caller.Outcome
	err     error
}

// NewClaims returns a Claims without commands.
func NewClaims(d *Deps) *Claims {
	return &Claims{deps: d, running: make(map[fold.CommandKey]*running)}
}

var _ caller.Claims = (*Claims)(nil)

// Run implements caller.Claims.
func (c *Claims) Run(ctx context.Context, cmd caller.Command, forward func(context.Context) (caller.Outcome, error)) (caller.Outcome, error) {
	for {
		// The channel is taken before the state is read, so that no change
		// between the two is missed.
		changed := c.deps.Agreement.Changed()
		known, ok := c.lookup(cmd.Key)
		if !ok {
			won, err := c.claim(ctx, cmd)
			if err != nil {
				return caller.Outcome{}, err
			}
			if won {
				return c.forward(ctx, cmd, forward)
			}
			continue
		}
		out, settled, err := c.settled(ctx, cmd, known)
		if settled {
			return out, err
		}
		if err := c.waitFor(ctx, cmd, changed); err != nil {
			return caller.Outcome{}, err
		}
	}
}

func (c *Claims) lookup(k fold.CommandKey) (known fold.Command, ok bool) {
	c.deps.Agreement.View(func(s *fold.State) { known, ok = s.Command(k) })
	return known, ok
}

// settled tells what is known of an earlier request with the same key, or that
// the command still runs.
func (c *Claims) settled(ctx context.Context, cmd caller.Command, known fold.Command) (out caller.Outcome, done bool, err error) {
	if known.Request != cmd.Request {
		return out, true, verdict.Refuse(verdict.KeyReused, "the idempotency key was used for another command")
	}
	if known.State == fold.CommandDone {
		return outcomeOf(known), true, nil
	}
	if known.Holder == c.deps.node() {
		return c.own(ctx, cmd)
	}
	if !c.deps.Mesh.Alive(known.Holder) {
		return out, true, inDoubt("the node that ran the command is gone and its outcome is not known")
	}
	return c.query(ctx, cmd, known.Holder)
}

func outcomeOf(k fold.Command) caller.Outcome {
	return caller.Outcome{Status: k.Status, ContentType: k.ContentType, Body: k.Body, Truncated: k.Truncated}
}

func inDoubt(message string) error {
	return verdict.UnknownOutcome(verdict.CommandInDoubt, message, nil)
}

// own waits for a command that this node claimed for an earlier request.
func (c *Claims) own(ctx context.Context, cmd caller.Command) (caller.Outcome, bool, error) {
	c.mu.Lock()
	r := c.running[cmd.Key]
	c.mu.Unlock()
	if r == nil {
		// The claim may have been given back or finished since the state was read.
		if k, ok := c.lookup(cmd.Key); !ok || k.State == fold.CommandDone {
			return caller.Outcome{}, false, nil
		}
		return caller.Outcome{}, true, inDoubt("the command was sent and its outcome is not known")
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return caller.Outcome{}, true, stillRunning()
	}
	if r.err == nil {
		return r.outcome, true, nil
	}
	if verdict.Of(r.err).Verdict == verdict.NotRun {
		return caller.Outcome{}, false, nil
	}
	return caller.Outcome{}, true, inDoubt("the command was sent and its outcome is not known")
}

func stillRunning() error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun, Reason: verdict.CommandInProgress,
		Message: "the same command is still running", RetryAfter: time.Second,
	}
}

// query asks the holder of a claim whether it still runs the command. An
// unreachable holder is asked again until the caller's deadline.
func (c *Claims) query(ctx context.Context, cmd caller.Command, holder domain.NodeID) (caller.Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	a, err := c.deps.Mesh.Call(ctx, holder, peer.CommandQuery{Key: cmd.Key, Within: time.Second})
	answer, ok := a.(peer.CommandAnswer)
	if err != nil || !ok || answer.Running {
		return caller.Outcome{}, false, nil
	}
	// The outcome may have reached the log while the holder was asked.
	if k, ok := c.lookup(cmd.Key); !ok || k.State == fold.CommandDone {
		return caller.Outcome{}, false, nil
	}
	return caller.Outcome{}, true, inDoubt("the command was sent and its outcome is not known")
}

// waitFor waits until the state changes, or a moment, within the deadline.
func (c *Claims) waitFor(ctx context.Context, cmd caller.Command, changed <-chan struct{}) error {
	if cmd.Deadline.Passed(time.Now()) || ctx.Err() != nil {
		return stillRunning()
	}
	select {
	case <-ctx.Done():
		return stillRunning()
	case <-changed:
	case <-time.After(pollInterval):
	}
	return nil
}

// claim proposes the claim and tells whether this request won it. Where the
// caller gives up first, the claim is taken back, or given back as soon as it turns
// up in the log, so that NotRun is true.
func (c *Claims) claim(ctx context.Context, cmd caller.Command) (bool, error) {
	if c.deps.LogDown() {
		return false, verdict.Refuse(verdict.LogUnavailable, "no command can be claimed while the platform's log is down").WithRetryAfter(retryLoadAfter)
	}
	r := &running{done: make(chan struct{})}
	c.mu.Lock()
	if c.running[cmd.Key] != nil {
		c.mu.Unlock()
		return c.waitOwn(ctx, cmd)
	}
	c.running[cmd.Key] = r
	c.mu.Unlock()

	result := make(chan claimResult, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer cancel()
		out, err := c.deps.Agreement.Propose(background, fold.CommandClaimed{Key: cmd.Key, Request: cmd.Request})
		result <- claimResult{out: out, err: err}
	}()
	select {
	case a := <-result:
		return c.claimed(cmd, a)
	case <-ctx.Done():
		c.giveUp(cmd, cancel, result)
		return false, verdict.Refuse(verdict.LogUnavailable, "the command could not be claimed in time").WithRetryAfter(retryLoadAfter)
	}
}

type claimResult struct {
	out []fold.RecordResult
	err error
}

func (c *Claims) claimed(cmd caller.Command, a claimResult) (bool, error) {
	if a.err != nil {
		c.forget(cmd.Key, verdict.Refuse(verdict.LogUnavailable, "the claim failed"))
		return false, &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the command could not be claimed",
			RetryAfter: retryLoadAfter, Cause: a.err,
		}
	}
	if a.out[0].Rejection == fold.Accepted {
		return true, nil
	}
	c.forget(cmd.Key, verdict.Refuse(verdict.CommandInProgress, "another request claimed the command"))
	return false, nil
}

// giveUp takes a claim back whose caller left: out of the queue where it still
// waits, else out of the log once it turns up there.
func (c *Claims) giveUp(cmd caller.Command, cancel context.CancelFunc, result <-chan claimResult) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		cancel()
		a := <-result
		mayLand := a.err != nil && verdict.Of(a.err).Verdict != verdict.NotRun
		if mayLand && !c.lands(cmd) {
			mayLand = false
		}
		if mayLand {
			c.abandon(cmd.Key)
			return
		}
		if won, _ := c.claimed(cmd, a); won {
			c.abandon(cmd.Key)
		}
	}()
}

// lands waits for a claim that may be on its way to the log and tells whether it
// became this node's. After finishTimeout nothing more is expected; if the claim comes all
// the same, resends are in doubt and nothing runs twice.
func (c *Claims) lands(cmd caller.Command) bool {
	end := time.Now().Add(finishTimeout)
	for time.Now().Before(end) {
		if k, ok := c.lookup(cmd.Key); ok {
			return k.Holder == c.deps.node() && k.State != fold.CommandDone
		}
		time.Sleep(pollInterval)
	}
	return false
}

// waitOwn waits for an earlier request with the same key at this node.
func (c *Claims) waitOwn(ctx context.Context, cmd caller.Command) (bool, error) {
	_, settled, err := c.own(ctx, cmd)
	if settled && err != nil && ctx.Err() != nil {
		return false, verdict.Refuse(verdict.CommandInProgress, "the same command is being claimed").WithRetryAfter(time.Second)
	}
	return false, nil
}

// forget ends a command at this node with an error.
func (c *Claims) forget(k fold.CommandKey, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[k]
	if r == nil {
		return
	}
	r.err = err
	close(r.done)
	delete(c.running, k)
}

// forward sends the command, once. The claim is this request's alone.
func (c *Claims) forward(ctx context.Context, cmd caller.Command, forward func(context.Context) (caller.Outcome, error)) (caller.Outcome, error) {
	if ctx.Err() != nil || cmd.Deadline.Passed(time.Now()) {
		c.abandon(cmd.Key)
		return caller.Outcome{}, verdict.Refuse(verdict.DeadlinePassed, "the deadline passed before the command was sent")
	}
	out, err := forward(ctx)
	if err == nil {
		c.finish(cmd.Key, out)
		return out, nil
	}
	if verdict.Of(err).Verdict == verdict.NotRun {
		c.abandon(cmd.Key)
		return caller.Outcome{}, err
	}
	c.forget(cmd.Key, err)
	return caller.Outcome{}, err
}

// abandon gives a claim back; nothing of the command was sent.
func (c *Claims) abandon(k fold.CommandKey) {
	c.record(fold.CommandAbandoned{Key: k}, func() {
		c.forget(k, verdict.Refuse(verdict.LogUnavailable, "the command was not sent"))
	})
}

// finish records an outcome for resends. The first caller does not wait for it.
func (c *Claims) finish(k fold.CommandKey, out caller.Outcome) {
	c.mu.Lock()
	if r := c.running[k]; r != nil {
		r.outcome = out
		close(r.done)
	}
	c.mu.Unlock()
	f := fold.CommandFinished{Key: k, Status: out.Status, ContentType: out.ContentType, Body: out.Body}
	if domain.Bytes(len(out.Body)) > fold.MaximumOutcomeBody {
		f.Body = nil
		f.Truncated = true
	}
	c.record(f, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, k)
	})
}

// record proposes a record in the background and calls then once the log has it
// or the node has given up.
func (c *Claims) record(r fold.Record, then func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer then()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if _, err := c.deps.Agreement.Propose(ctx, r); err != nil {
			c.deps.Logger.Error().Err(err).Str("Event", "CommandNotRecorded").Msg("resends of a command will be in doubt")
		}
	}()
}

// Query answers another node about a command that this one claimed.
func (c *Claims) Query(ctx context.Context, q peer.CommandQuery) peer.CommandAnswer {
	c.mu.Lock()
	r := c.running[q.Key]
	c.mu.Unlock()
	if r == nil {
		k, ok := c.lookup(q.Key)
		return peer.CommandAnswer{Known: ok && k.Holder == c.deps.node()}
	}
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	select {
	case <-r.done:
		// A recorded outcome is on its way to the log: the asker waits for it.
		return peer.CommandAnswer{Known: true, Running: c.recording(q.Key)}
	case <-ctx.Done():
		return peer.CommandAnswer{Known: true, Running: true}
	}
}

func (c *Claims) recording(k fold.CommandKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[k] != nil
}

// Drain waits until every outcome is in the log or ctx ends.
func (c *Claims) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.wait.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
