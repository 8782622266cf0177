package duties

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against servers that answer probes with heads of any length, of which the parser holds a
// multiple: such a probe fails, and one with an ordinary head does not.
func TestProbeRefusesLongHeads(t *testing.T) {
	transport := newProbeTransport(time.Minute)
	defer transport.CloseIdleConnections()
	for size, ok := range map[int]bool{1 << 10: true, 64 << 10: false, 1 << 20: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", size))
		}))
		defer server.Close()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(request)
		if err == nil {
			resp.Body.Close()
		}
		if (err == nil) != ok {
			t.Errorf("an answer with a head of %d bytes: error %v, want success %v", size, err, ok)
		}
	}
}
