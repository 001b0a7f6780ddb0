package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// slowestCallerRate is the least rate in bytes per second at which a caller has to read a response
// that is not a stream.
const slowestCallerRate = 64 * domain.Kibibyte

// limitResponse makes the writes of a response of a size that is not a stream fail if its caller
// does not read. A request holds the space of its body and its share of the limits of its team
// until its response is written. net/http removes the limit after the response. The declared
// length tells a caller over HTTP/1.0 that a response whose writes have failed is incomplete.
func limitResponse(w http.ResponseWriter, size int) {
	if size > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	transfer := time.Duration(size) * time.Second / time.Duration(slowestCallerRate)
	// Writers of tests may not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeStallTimeout + transfer))
}
