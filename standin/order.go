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

type wireOrderResponse struct {
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
		return wireOrder{}, errors.New("MemoryBytes is negative")
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

// serveOrder executes an order. Execution continues if the connection closes, and ends
// with the incarnation.
func (e *modelEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	inc := e.currentIncarnation()
	if inc == nil {
		abortConnection()
	}
	data, err := readBody(r)
	if err != nil {
		abortConnection()
	}
	o, err := decodeOrder(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	result := make(chan wireOrderResponse, 1)
	go e.executeWhenReady(inc, o, result)
	select {
	case response := <-result:
		writeJSON(w, orderHTTPStatus(response.Status), response)
	case <-inc.ctx.Done():
		abortConnection()
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

// executeWhenReady delays an order by IgnoreOrdersMilliseconds and while the engine is
// paused, then executes it.
func (e *modelEngine) executeWhenReady(inc *incarnation, o wireOrder, result chan<- wireOrderResponse) {
	if !pause.For(inc.ctx, e.currentFaults().orderDelay, nil) || !e.pause.wait(inc.ctx) {
		return
	}
	response := e.execute(inc, o)
	if e.pause.wait(inc.ctx) {
		result <- response
	}
}

func (e *modelEngine) execute(inc *incarnation, o wireOrder) wireOrderResponse {
	if newest, ok := e.checkAndRecordFence(o.Fence); !ok {
		return wireOrderResponse{Status: statusRefusedStale, NewestFence: newest}
	}
	status := statusDone
	switch o.Order {
	case "LoadModel":
		status = e.loadModel(inc, o)
	case "UnloadModel":
		status = e.unloadModel(inc, o)
	case "LoadAdapter":
		status = e.loadAdapter(inc, o)
	case "UnloadAdapter":
		status = e.unloadAdapter(inc, o)
	}
	return wireOrderResponse{Status: status}
}

// checkAndRecordFence records a newer fencing token. It returns the newest token, and
// false if the engine checks tokens and this one is stale.
func (e *modelEngine) checkAndRecordFence(fence uint64) (newest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFences && fence < e.newestFence {
		e.observer.recordStaleRefusal(e.observed)
		return e.newestFence, false
	}
	e.newestFence = max(e.newestFence, fence)
	return e.newestFence, true
}

// applyIfCurrent calls apply with e.mu held if inc is still the current incarnation, and
// reports whether it did.
func (e *modelEngine) applyIfCurrent(inc *incarnation, apply func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != inc {
		return false
	}
	apply()
	return true
}

// waitForLoad waits for a load in progress. It reports false if ctx ended first.
func waitForLoad(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
