package front

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a client that keeps the process busy with requests that are answered at once.
func TestRequestsAnsweredAtOnceAreLimited(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		handle  func(x *Exchange)
	}{
		"unknown class": {request("GET /nothing", idFields), echo},
		"no id":         {request("GET /a", ""), echo},
		"refused":       {request("GET /a", idFields), func(x *Exchange) { x.Refuse(0, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, dial := startServer(t, Config{MaxConns: 10, MaxBodyBytes: 1 << 20}, c.handle)
			client := dial()
			go func() {
				for {
					if _, err := io.WriteString(client, c.request); err != nil {
						return
					}
				}
			}()
			const windows = 5
			began, answers := time.Now(), 0
			reader := bufio.NewReader(client)
			for time.Since(began) < windows*paceWindow {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				answers++
			}
			elapsed := int(time.Since(began)/paceWindow) + 2
			if answers > elapsed*maxPerWindow {
				t.Errorf("%d answers in %d windows, want %d in each at most", answers, elapsed, maxPerWindow)
			}
			if answers < maxPerWindow {
				t.Errorf("%d answers, want %d at least", answers, maxPerWindow)
			}
		})
	}
}
