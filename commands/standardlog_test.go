package commands

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against lines that are no JSON and are not counted by the limit of lines: the HTTP client
// writes the bytes that a server sends behind its response to the standard logger.
func TestStandardLogIsStructured(t *testing.T) {
	defer func(flags int, out io.Writer) {
		log.SetFlags(flags)
		log.SetOutput(out)
	}(log.Flags(), log.Writer())
	var out bytes.Buffer
	redirectStandardLog(zerolog.New(&out))
	log.Printf("Unsolicited response starting with %q", "x\r\n")
	var line struct{ Event, Message string }
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Event != "LibraryMessage" || line.Message == "" {
		t.Errorf("got %q and %v, want a JSON line with the event LibraryMessage", out.String(), err)
	}
}
