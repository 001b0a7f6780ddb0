package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/pause"
)

type wireOrder struct {
	Order       string
	Fence       uint64
	Model       string
	Adapter     string
	Version     string
	MemoryBytes int64
}

type wireOrderAnswer struct {
	Status      string
	NewestFence uint64 `json:",omitempty"`
}

// The statuses of an order.
const (
	statusDone          = "Done"
	statusRefusedStale  = "RefusedStale"
	statusRefusedBusy   = "RefusedBusy"
	statusRefusedMemory = "RefusedMemory"
	statusFailedLoad    = "FailedLoad"
)

func decodeOrder(data []byte) (wireOrder, error) {
	var o wireOrder
	if err := json.Unmarshal(data, &o); err != nil {
		return wireOrder{}, errors.WithStack(err)
	}
	if o.MemoryBytes < 0 {
		return wireOrder{}, errors.New("negative memory")
	}
	switch o.Order {
	case "Barrier":
		return o, nil
	case "LoadModel", "UnloadModel":
		if o.Model == "" {
			return wireOrder{}, errors.New("no model")
		}
		return o, nil
	case "LoadAdapter", "UnloadAdapter":
		if o.Model == "" || o.Adapter == "" {
			return wireOrder{}, errors.New("no model or adapter")
		}
		return o, nil
	}
	return wireOrder{}, errors.Errorf("unknown order %.40q", o.Order)
}

// serveOrder carries out one order. The order goes on where its connection
// closes, and ends with the engine's life.
func (e *modelEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	l := e.alive()
	if l == nil {
		breakOff()
	}
	data, err := readBody(r)
	if err != nil {
		breakOff()
	}
	o, err := decodeOrder(data)
	if err != nil {
		fail(w, http.StatusBadRequest, "BadRequest")
		return
	}
	result := make(chan wireOrderAnswer, 1)
	go e.carryOut(l, o, result)
	select {
	case a := <-result:
		answer(w, orderHTTPStatus(a.Status), a)
	case <-l.ctx.Done():
		breakOff()
	case <-r.Context().Done():
	}
}

func orderHTTPStatus(status string) int {
	switch status {
	case statusDone:
		return http.StatusOK
	case statusRefusedMemory:
		return http.StatusInsufficientStorage
	case statusFailedLoad:
		return http.StatusBadGateway
	}
	return http.StatusConflict
}

// carryOut does an order once the engine looks at it: late where it is paused or
// told to leave orders lying.
func (e *modelEngine) carryOut(l *life, o wireOrder, result chan<- wireOrderAnswer) {
	if !pause.For(l.ctx, e.currentFaults().ignoreOrders, nil) || !e.pause.wait(l.ctx) {
		return
	}
	a := e.execute(l, o)
	if e.pause.wait(l.ctx) {
		result <- a
	}
}

func (e *modelEngine) execute(l *life, o wireOrder) wireOrderAnswer {
	if newest, ok := e.checkFence(o.Fence); !ok {
		return wireOrderAnswer{Status: statusRefusedStale, NewestFence: newest}
	}
	status := statusDone
	switch o.Order {
	case "LoadModel":
		status = e.loadModel(l, o)
	case "UnloadModel":
		status = e.unloadModel(l, o)
	case "LoadAdapter":
		status = e.loadAdapter(l, o)
	case "UnloadAdapter":
		status = e.unloadAdapter(l, o)
	}
	return wireOrderAnswer{Status: status}
}

// checkFence raises the newest fence; ok is false for an older one where the
// engine checks fences.
func (e *modelEngine) checkFence(fence uint64) (newest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFences && fence < e.newestFence {
		e.observer.staleRefused(e.observed)
		return e.newestFence, false
	}
	e.newestFence = max(e.newestFence, fence)
	return e.newestFence, true
}

// locked runs act under the engine's lock; false means that the life is over.
func (e *modelEngine) locked(l *life, act func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		return false
	}
	act()
	return true
}

// settle waits for a load that runs already.
func settle(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
