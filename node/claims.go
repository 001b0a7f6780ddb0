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

// recordTimeout bounds the proposal of a claim, of its release or of an outcome to the log.
const recordTimeout = 10 * time.Minute

// Claims runs a command with an idempotency key at most once. The log decides which node
// may forward a command, and a claim never moves to another node: a node that was paused
// and resumes cannot run a command a second time. It implements caller.CommandRunner.
type Claims struct {
	deps *Deps

	mu sync.Mutex
	// runs holds each command that this node is claiming, is forwarding or has completed
	// without its outcome being in the log yet.
	runs map[fold.CommandKey]*commandRun
	// pendingProposals counts the proposals in flight; Drain waits for them.
	pendingProposals sync.WaitGroup
}

// commandRun is the run of a command at the node that claimed it.
type commandRun struct {
	done chan struct{}
	// outcome and err are set before done is closed.
	outcome caller.Outcome
	err     error
}

// NewClaims returns a Claims that runs no command.
func NewClaims(d *Deps) *Claims {
	return &Claims{deps: d, runs: make(map[fold.CommandKey]*commandRun)}
}

var _ caller.CommandRunner = (*Claims)(nil)

// Run implements caller.CommandRunner.
func (c *Claims) Run(ctx context.Context, cmd caller.Command, forward func(context.Context) (caller.Outcome, error)) (caller.Outcome, error) {
	for {
		// Subscribe before reading the state, so that no change in between is missed.
		changed := c.deps.State.Changed()
		entry, ok := c.lookup(cmd.Key)
		if !ok {
			accepted, err := c.claim(ctx, cmd)
			if err != nil {
				return caller.Outcome{}, err
			}
			if accepted {
				return c.forwardOnce(ctx, cmd, forward)
			}
			continue
		}
		out, settled, err := c.resolve(ctx, cmd, entry)
		if settled {
			return out, err
		}
		if err := c.waitForChange(ctx, cmd, changed); err != nil {
			return caller.Outcome{}, err
		}
	}
}

func (c *Claims) lookup(k fold.CommandKey) (entry fold.Command, ok bool) {
	c.deps.State.View(func(s *fold.State) { entry, ok = s.Command(k) })
	return entry, ok
}

// resolve returns the result of an earlier request with the same idempotency key. entry is
// the claim of that request. settled is true if out or err is the final result. It is false
// while the earlier request still runs or if its claim has just changed; the caller then
// waits for a change of the state and reads it again.
func (c *Claims) resolve(ctx context.Context, cmd caller.Command, entry fold.Command) (out caller.Outcome, settled bool, err error) {
	if entry.Request != cmd.Request {
		return out, true, verdict.Refuse(verdict.KeyReused, "the idempotency key was used for another command")
	}
	if entry.State == fold.CommandDone {
		return outcomeOf(entry), true, nil
	}
	if entry.Holder == c.deps.nodeID() {
		return c.awaitLocalRun(ctx, cmd)
	}
	if !c.deps.Mesh.IsAlive(entry.Holder) {
		return out, true, unknownOutcome("the node that ran the command is gone and its outcome is not known")
	}
	return c.queryHolder(ctx, cmd, entry.Holder)
}

func outcomeOf(k fold.Command) caller.Outcome {
	return caller.Outcome{Status: k.Status, ContentType: k.ContentType, Body: k.Body, Truncated: k.Truncated}
}

func unknownOutcome(message string) error {
	return verdict.UnknownOutcome(verdict.CommandInDoubt, message, nil)
}

// awaitLocalRun waits for a command that this node claimed for an earlier request. It
// returns what resolve returns.
func (c *Claims) awaitLocalRun(ctx context.Context, cmd caller.Command) (caller.Outcome, bool, error) {
	c.mu.Lock()
	r := c.runs[cmd.Key]
	c.mu.Unlock()
	if r == nil {
		// The claim may have been released or its outcome recorded since the state was
		// read.
		if k, ok := c.lookup(cmd.Key); !ok || k.State == fold.CommandDone {
			return caller.Outcome{}, false, nil
		}
		return caller.Outcome{}, true, unknownOutcome("the command was sent and its outcome is not known")
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
	return caller.Outcome{}, true, unknownOutcome("the command was sent and its outcome is not known")
}

func stillRunning() error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun, Reason: verdict.CommandInProgress,
		Message: "the same command is still running", RetryAfter: time.Second,
	}
}

// queryHolder asks the holder of a claim whether it still runs the command, and returns
// what resolve returns. An unreachable holder counts as running, so that the loop in Run
// asks again until the deadline.
func (c *Claims) queryHolder(ctx context.Context, cmd caller.Command, holder domain.NodeID) (caller.Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	message, err := c.deps.Mesh.Call(ctx, holder, peer.CommandQuery{Key: cmd.Key, Within: time.Second})
	response, ok := message.(peer.CommandAnswer)
	if err != nil || !ok || response.Running {
		return caller.Outcome{}, false, nil
	}
	// The outcome may have reached the log during the call.
	if k, ok := c.lookup(cmd.Key); !ok || k.State == fold.CommandDone {
		return caller.Outcome{}, false, nil
	}
	return caller.Outcome{}, true, unknownOutcome("the command was sent and its outcome is not known")
}

// waitForChange waits for a change of the replicated state, at most pollInterval and not
// past the caller's deadline.
func (c *Claims) waitForChange(ctx context.Context, cmd caller.Command, changed <-chan struct{}) error {
	if cmd.Deadline.HasPassed(time.Now()) || ctx.Err() != nil {
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

// claim proposes the claim and reports whether the log accepted it. If ctx ends first, it
// returns the verdict NotRun and withdraws the claim in the background.
func (c *Claims) claim(ctx context.Context, cmd caller.Command) (bool, error) {
	if c.deps.IsLogDown() {
		return false, verdict.Refuse(verdict.LogUnavailable, "no command can be claimed while the platform's log is down").WithRetryAfter(loadRetryAfter)
	}
	r := &commandRun{done: make(chan struct{})}
	c.mu.Lock()
	if c.runs[cmd.Key] != nil {
		c.mu.Unlock()
		return c.awaitLocalClaim(ctx, cmd)
	}
	c.runs[cmd.Key] = r
	c.mu.Unlock()

	result := make(chan claimResult, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	c.pendingProposals.Add(1)
	go func() {
		defer c.pendingProposals.Done()
		defer cancel()
		out, err := c.deps.State.Propose(background, fold.CommandClaimed{Key: cmd.Key, Request: cmd.Request})
		result <- claimResult{results: out, err: err}
	}()
	select {
	case res := <-result:
		return c.handleClaimResult(cmd, res)
	case <-ctx.Done():
		c.withdrawClaim(cmd, cancel, result)
		return false, verdict.Refuse(verdict.LogUnavailable, "the command could not be claimed in time").WithRetryAfter(loadRetryAfter)
	}
}

// claimResult holds the return values of Propose for a claim.
type claimResult struct {
	results []fold.RecordResult
	err     error
}

// handleClaimResult reports whether the claim was accepted, and otherwise ends the run.
func (c *Claims) handleClaimResult(cmd caller.Command, result claimResult) (bool, error) {
	if result.err != nil {
		c.failRun(cmd.Key, verdict.Refuse(verdict.LogUnavailable, "the claim failed"))
		return false, &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the command could not be claimed",
			RetryAfter: loadRetryAfter, Cause: result.err,
		}
	}
	if result.results[0].Rejection == fold.Accepted {
		return true, nil
	}
	c.failRun(cmd.Key, verdict.Refuse(verdict.CommandInProgress, "another request claimed the command"))
	return false, nil
}

// withdrawClaim undoes, in the background, a claim whose caller's context ended. It cancels
// the proposal and, if the claim reaches the log nevertheless, releases the claim.
func (c *Claims) withdrawClaim(cmd caller.Command, cancel context.CancelFunc, result <-chan claimResult) {
	c.pendingProposals.Add(1)
	go func() {
		defer c.pendingProposals.Done()
		cancel()
		res := <-result
		mayBeInLog := res.err != nil && verdict.Of(res.err).Verdict != verdict.NotRun
		if mayBeInLog && !c.awaitClaimInLog(cmd) {
			mayBeInLog = false
		}
		if mayBeInLog {
			c.releaseClaim(cmd.Key)
			return
		}
		if accepted, _ := c.handleClaimResult(cmd, res); accepted {
			c.releaseClaim(cmd.Key)
		}
	}()
}

// awaitClaimInLog waits until the replicated state shows a claim of the command and reports
// whether this node holds it. It is for a proposal of unknown outcome and stops waiting
// after recordTimeout. If the claim reaches the log even later, retries of the command get
// CommandInDoubt and nothing runs twice.
func (c *Claims) awaitClaimInLog(cmd caller.Command) bool {
	end := time.Now().Add(recordTimeout)
	for time.Now().Before(end) {
		if k, ok := c.lookup(cmd.Key); ok {
			return k.Holder == c.deps.nodeID() && k.State != fold.CommandDone
		}
		time.Sleep(pollInterval)
	}
	return false
}

// awaitLocalClaim waits for an earlier request with the same idempotency key at this node.
// It always returns false. If it returns no error, Run reads the state again.
func (c *Claims) awaitLocalClaim(ctx context.Context, cmd caller.Command) (bool, error) {
	_, settled, err := c.awaitLocalRun(ctx, cmd)
	if settled && err != nil && ctx.Err() != nil {
		return false, verdict.Refuse(verdict.CommandInProgress, "the same command is being claimed").WithRetryAfter(time.Second)
	}
	return false, nil
}

// failRun ends the run of a command at this node with an error.
func (c *Claims) failRun(k fold.CommandKey, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[k]
	if r == nil {
		return
	}
	r.err = err
	close(r.done)
	delete(c.runs, k)
}

// forwardOnce sends the command to its service. It records the outcome, releases the claim
// if nothing was sent, or ends the run with an error if the outcome is unknown. Only the
// request whose claim was accepted calls it.
func (c *Claims) forwardOnce(ctx context.Context, cmd caller.Command, forward func(context.Context) (caller.Outcome, error)) (caller.Outcome, error) {
	if ctx.Err() != nil || cmd.Deadline.HasPassed(time.Now()) {
		c.releaseClaim(cmd.Key)
		return caller.Outcome{}, verdict.Refuse(verdict.DeadlinePassed, "the deadline passed before the command was sent")
	}
	out, err := forward(ctx)
	if err == nil {
		c.recordOutcome(cmd.Key, out)
		return out, nil
	}
	if verdict.Of(err).Verdict == verdict.NotRun {
		c.releaseClaim(cmd.Key)
		return caller.Outcome{}, err
	}
	c.failRun(cmd.Key, err)
	return caller.Outcome{}, err
}

// releaseClaim starts the proposal that releases the claim of a command that was not sent,
// so that a retry can run it.
func (c *Claims) releaseClaim(k fold.CommandKey) {
	c.proposeInBackground(fold.CommandAbandoned{Key: k}, func() {
		c.failRun(k, verdict.Refuse(verdict.LogUnavailable, "the command was not sent"))
	})
}

// recordOutcome passes the outcome to the requests that wait at this node and starts its
// proposal to the log, from which later retries get it. It does not wait for the append.
func (c *Claims) recordOutcome(k fold.CommandKey, out caller.Outcome) {
	c.mu.Lock()
	if r := c.runs[k]; r != nil {
		r.outcome = out
		close(r.done)
	}
	c.mu.Unlock()
	f := fold.CommandFinished{Key: k, Status: out.Status, ContentType: out.ContentType, Body: out.Body}
	if domain.Bytes(len(out.Body)) > fold.MaximumOutcomeBody {
		f.Body = nil
		f.Truncated = true
	}
	c.proposeInBackground(f, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.runs, k)
	})
}

// proposeInBackground proposes a record and calls onFinished when the proposal has succeeded
// or failed.
func (c *Claims) proposeInBackground(r fold.Record, onFinished func()) {
	c.pendingProposals.Add(1)
	go func() {
		defer c.pendingProposals.Done()
		defer onFinished()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if _, err := c.deps.State.Propose(ctx, r); err != nil {
			c.deps.Logger.Error().Err(err).Str("Event", "CommandNotRecorded").Msg("outcome or release of a claimed command was not recorded; retries of the command will get CommandInDoubt")
		}
	}()
}

// Query returns the state of a command that this node claimed, for a peer.
func (c *Claims) Query(ctx context.Context, q peer.CommandQuery) peer.CommandAnswer {
	c.mu.Lock()
	r := c.runs[q.Key]
	c.mu.Unlock()
	if r == nil {
		k, ok := c.lookup(q.Key)
		return peer.CommandAnswer{Known: ok && k.Holder == c.deps.nodeID()}
	}
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	select {
	case <-r.done:
		// The command counts as running until the proposal of its outcome has ended.
		return peer.CommandAnswer{Known: true, Running: c.isTracked(q.Key)}
	case <-ctx.Done():
		return peer.CommandAnswer{Known: true, Running: true}
	}
}

// isTracked reports whether runs has the command.
func (c *Claims) isTracked(k fold.CommandKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[k] != nil
}

// Drain waits until every proposal of a claim, release or outcome has ended, or returns an
// error when ctx ends.
func (c *Claims) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pendingProposals.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
