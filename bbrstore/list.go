package bbrstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// listIdle is how long an idle connection to the list is kept.
const listIdle = time.Minute

// Listed is an instance on the platform's list. The list lags: it is a hint.
type Listed struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// List is the platform's list of live and leaving instances.
type List struct {
	url    string
	client *http.Client
}

// NewList returns a client of the list.
func NewList(o Options) *List {
	transport := &http.Transport{DialContext: o.Dial, IdleConnTimeout: listIdle}
	return &List{url: o.ListURL, client: &http.Client{Transport: transport}}
}

// Instances returns the listed instances.
func (l *List) Instances(ctx context.Context) ([]Listed, error) {
	resp, err := l.do(ctx, http.MethodGet, "", nil)
	if err != nil {
		return nil, errors.Wrap(err, "read the list of instances")
	}
	defer func() { _ = resp.Body.Close() }()
	var out []Listed
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "decode the list of instances")
}

// Set enters an instance.
func (l *List) Set(ctx context.Context, i Listed) error {
	body, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode an instance")
	}
	resp, err := l.do(ctx, http.MethodPut, i.Name, body)
	if err != nil {
		return errors.Wrapf(err, "list instance %s", i.Name)
	}
	return resp.Body.Close()
}

// Remove takes an instance off the list.
func (l *List) Remove(ctx context.Context, name string) error {
	resp, err := l.do(ctx, http.MethodDelete, name, nil)
	if err != nil {
		return errors.Wrapf(err, "take instance %s off the list", name)
	}
	return resp.Body.Close()
}

func (l *List) do(ctx context.Context, method, name string, body []byte) (*http.Response, error) {
	target := l.url
	if name != "" {
		target += "/" + url.PathEscape(name)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		_ = resp.Body.Close()
		return nil, errors.Errorf("%s %s: %s", method, target, resp.Status)
	}
	return resp, nil
}
