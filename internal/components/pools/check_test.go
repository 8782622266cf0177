package pools

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against servers that answer checks with heads of any length, of which the parser holds a
// multiple: such a check fails, and one with an ordinary head does not.
func TestCheckRefusesLongHeads(t *testing.T) {
	for size, ok := range map[int]bool{1 << 10: true, 64 << 10: false, 1 << 20: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", size))
		}))
		defer server.Close()
		err := checkOnce(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/", 20*time.Second)
		if (err == nil) != ok {
			t.Errorf("an answer with a head of %d bytes: error %v, want success %v", size, err, ok)
		}
	}
}
