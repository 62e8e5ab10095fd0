package bbrstandinplatform

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxObjectSize bounds an object, in bytes.
const maxObjectSize = 64 << 20

// serveObject answers the requests of S3 for single objects and buckets.
func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	path := strings.Trim(r.URL.Path, "/")
	if !strings.Contains(path, "/") {
		p.serveBucket(w, r)
		return
	}
	switch r.Method {
	case http.MethodPut:
		body, err := readBody(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.objects[path] = body
		p.mu.Unlock()
		w.Header().Set("ETag", etag(body))
	case http.MethodGet, http.MethodHead:
		p.mu.Lock()
		body, ok := p.objects[path]
		p.mu.Unlock()
		if !ok {
			w.Header().Set("Content-Type", "application/xml")
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprint(w, "<Error><Code>NoSuchKey</Code><Message>The specified key does not exist.</Message></Error>")
			return
		}
		w.Header().Set("ETag", etag(body))
		w.Header().Set("Last-Modified", time.Now().UTC().Format(http.TimeFormat))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if r.Method == http.MethodGet {
			_, _ = w.Write(body)
		}
	case http.MethodDelete:
		p.mu.Lock()
		delete(p.objects, path)
		p.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) serveBucket(w http.ResponseWriter, r *http.Request) {
	if _, ok := r.URL.Query()["location"]; ok {
		w.Header().Set("Content-Type", "application/xml")
		_, _ = fmt.Fprint(w, `<LocationConstraint xmlns="http://s3.amazonaws.com/doc/2006-03-01/"></LocationConstraint>`)
	}
}

func etag(body []byte) string {
	sum := md5.Sum(body)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

// readBody reads an object, also one sent in signed chunks.
func readBody(r *http.Request) ([]byte, error) {
	body := io.LimitReader(r.Body, maxObjectSize)
	if !strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		return io.ReadAll(body)
	}
	br := bufio.NewReader(body)
	var out bytes.Buffer
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		n, err := strconv.ParseInt(size, 16, 64)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return out.Bytes(), nil
		}
		if _, err := io.CopyN(&out, br, n); err != nil {
			return nil, err
		}
		if _, err := br.Discard(len("\r\n")); err != nil {
			return nil, err
		}
	}
}
