package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// maxListBytes bounds the body of a list response.
const maxListBytes = 64 << 20

// watchTimeoutMargin is added to the wait of a watch to get the timeout of its call.
const watchTimeoutMargin = 2 * clock.Second

type httpStore struct {
	base    string
	client  *http.Client
	timeout clock.Millis
}

// New returns a Storer for the API at base, such as http://10.0.0.1:7000. Each call
// ends after timeout, a watch after its wait and 2 s if that is longer.
func New(base string, client *http.Client, timeout clock.Millis) *Storer {
	h := &httpStore{base: strings.TrimSuffix(base, "/"), client: client, timeout: timeout}
	return &Storer{GetFunc: h.get, PutFunc: h.put, DeleteFunc: h.delete, ListFunc: h.list}
}

func (h *httpStore) objectPath(kind ObjectKind, name string) string {
	return "/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (h *httpStore) get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	const op = "get object"
	ctx, cancel := context.WithTimeout(ctx, h.timeout.Duration())
	defer cancel()
	resp, err := h.do(ctx, op, http.MethodGet, h.objectPath(kind, name), nil, Precondition{})
	if err != nil {
		return Object{}, err
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, fault.New(op, KindUnavailable, err)
	}
	version, err := parseTag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, fault.New(op, KindRejected, err)
	}
	return Object{Name: name, Version: version, Value: value}, nil
}

func (h *httpStore) put(ctx context.Context, kind ObjectKind, name string, value []byte, pre Precondition) (ident.StoreVersion, error) {
	const op = "put object"
	ctx, cancel := context.WithTimeout(ctx, h.timeout.Duration())
	defer cancel()
	resp, err := h.do(ctx, op, http.MethodPut, h.objectPath(kind, name), value, pre)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	version, err := parseTag(resp.Header.Get("ETag"))
	if err != nil {
		return 0, fault.New(op, KindUnavailable, err)
	}
	return version, nil
}

func (h *httpStore) delete(ctx context.Context, kind ObjectKind, name string, pre Precondition) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeout.Duration())
	defer cancel()
	resp, err := h.do(ctx, "delete object", http.MethodDelete, h.objectPath(kind, name), nil, pre)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (h *httpStore) list(ctx context.Context, kind ObjectKind, since ident.StoreVersion, wait clock.Millis) (Changes, error) {
	const op = "list objects"
	ctx, cancel := context.WithTimeout(ctx, max(h.timeout, wait+watchTimeoutMargin).Duration())
	defer cancel()
	query := url.Values{"since": {strconv.FormatUint(uint64(since), 10)}}
	if wait > 0 {
		query.Set("wait", strconv.FormatInt(int64(wait), 10))
	}
	path := "/objects/" + url.PathEscape(string(kind)) + "?" + query.Encode()
	resp, err := h.do(ctx, op, http.MethodGet, path, nil, Precondition{})
	if err != nil {
		return Changes{}, err
	}
	defer resp.Body.Close()
	var changes Changes
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&changes); err != nil {
		return Changes{}, fault.New(op, KindUnavailable, err)
	}
	return changes, nil
}

// do sends a request and returns an error for every status other than 200 and 201.
func (h *httpStore) do(ctx context.Context, op, method, path string, body []byte, pre Precondition) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(op, KindRejected, err)
	}
	if pre.Absent {
		req.Header.Set("If-None-Match", "*")
	}
	if pre.Match != 0 {
		req.Header.Set("If-Match", FormatTag(pre.Match))
	}
	resp, err := h.client.Do(req)
	if err != nil {
		// Idle connections may have fallen silent with that of this call, and each later call would time out on another one.
		h.client.CloseIdleConnections()
		return nil, fault.New(op, KindUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, fault.Newf(op, kindOfStatus(resp.StatusCode), "%s answered status %d", path, resp.StatusCode)
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusNotFound:
		return KindNotFound
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return KindRejected
	default:
		return KindUnavailable
	}
}

// FormatTag formats a store version as an entity tag.
func FormatTag(v ident.StoreVersion) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

func parseTag(tag string) (ident.StoreVersion, error) {
	raw, err := strconv.Unquote(tag)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	return ident.StoreVersion(n), err
}
