package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maximumBody is the maximum size of a request body in bytes.
const maximumBody = 16 << 20

type wireError struct{ Error string }

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, wireError{Error: code})
}

// abortConnection closes the connection without a response, or in the middle of one.
func abortConnection() { panic(http.ErrAbortHandler) }

func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maximumBody+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > maximumBody {
		return nil, errors.New("the body is too long")
	}
	return data, nil
}
