package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// A write takes effect, and what stands before the platform's service loses
// its answer and sends an error status of its own. An operator who is told
// that nothing was changed would give the line again, and find it in force.
func TestStatusOfWriteDecidesVerdict(t *testing.T) {
	for _, test := range []struct {
		status int
		code   fault.Code
		want   fault.Verdict
	}{
		{http.StatusPreconditionFailed, fault.Conflict, fault.NotRun},
		{http.StatusTooManyRequests, fault.StoreDown, fault.NotRun},
		{http.StatusServiceUnavailable, fault.StoreDown, fault.NotRun},
		{http.StatusInternalServerError, fault.StoreDown, fault.MayHaveRun},
		{http.StatusBadGateway, fault.StoreDown, fault.MayHaveRun},
		{http.StatusGatewayTimeout, fault.StoreDown, fault.MayHaveRun},
		{http.StatusAccepted, fault.StoreDown, fault.MayHaveRun},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
		}))
		client := &store.Client{Address: strings.TrimPrefix(server.URL, "http://")}
		_, err := client.Put(context.Background(), "config/desk", []byte("value"), 1)
		server.Close()
		e := fault.As(err)
		qt.Check(t, e.Code, qt.Equals, test.code, qt.Commentf("%d", test.status))
		qt.Check(t, e.Verdict, qt.Equals, test.want, qt.Commentf("%d", test.status))
	}
}

// Nothing listens at the address: no write can have left.
func TestNoConnectionMeansNotRun(t *testing.T) {
	server := httptest.NewServer(nil)
	client := &store.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	server.Close()
	_, err := client.Put(context.Background(), "config/desk", []byte("value"), 1)
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
}
