package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"woaddoor/contract"
	"woaddoor/store"
)

// Handler serves the view over HTTP, with the protocol that store.Client speaks.
func (v *View) Handler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.HandleFunc(store.VMsPath, v.serveVMs).Methods(http.MethodGet)
	r.HandleFunc(store.ListPath, v.serveList).Methods(http.MethodGet)
	r.PathPrefix(store.ObjectsPath).Methods(http.MethodGet).HandlerFunc(v.serveGet)
	r.PathPrefix(store.ObjectsPath).Methods(http.MethodPut).HandlerFunc(v.servePut)
	return r
}

func objectName(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, store.ObjectsPath)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, store.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrUnchanged):
		status = http.StatusNotModified
	case errors.Is(err, store.ErrExists), errors.Is(err, store.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, store.ErrRateLimited):
		status = http.StatusTooManyRequests
	case errors.Is(err, errUnreachable):
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	w.WriteHeader(status)
}

func (v *View) serveGet(w http.ResponseWriter, r *http.Request) {
	var o store.Object
	var err error
	if wait := r.URL.Query().Get(store.ParamWait); wait != "" {
		var d time.Duration
		var after contract.ObjectVersion
		d, err = time.ParseDuration(wait)
		if err == nil {
			after, err = store.ParseETag(r.Header.Get(store.HeaderIfNoneMatch))
		}
		if err == nil {
			o, err = v.Watch(r.Context(), objectName(r), after, d)
		}
	} else {
		o, err = v.Read(r.Context(), objectName(r))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(store.HeaderETag, store.ETag(o.Version))
	_, _ = w.Write(o.Value)
}

func (v *View) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, int64(2*contract.MiB)))
	if err != nil {
		writeError(w, err)
		return
	}
	var version contract.ObjectVersion
	if r.Header.Get(store.HeaderIfNoneMatch) == "*" {
		version, err = v.Create(r.Context(), objectName(r), value)
	} else {
		var oldVersion contract.ObjectVersion
		oldVersion, err = store.ParseETag(r.Header.Get(store.HeaderIfMatch))
		if err == nil {
			version, err = v.Update(r.Context(), objectName(r), value, oldVersion)
		}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(store.HeaderETag, store.ETag(version))
	w.WriteHeader(http.StatusCreated)
}

func (v *View) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	names, err := v.List(r.Context(), q.Get(store.ParamPrefix), q.Get(store.ParamAfter))
	if err != nil {
		writeError(w, err)
		return
	}
	_ = json.NewEncoder(w).Encode(names)
}

func (v *View) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := v.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	_ = json.NewEncoder(w).Encode(vms)
}
