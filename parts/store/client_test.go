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

// Guards against a write that took effect but is reported as refused because a
// proxy in front of the platform's service lost the reply and sent an error
// status of its own.
func TestWriteVerdictByStatus(t *testing.T) {
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

// If nothing listens at the address, no write can have been sent.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	server := httptest.NewServer(nil)
	client := &store.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	server.Close()
	_, err := client.Put(context.Background(), "config/desk", []byte("value"), 1)
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
}
