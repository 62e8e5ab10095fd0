package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// consumer is a session of a consumer.
type consumer struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to a statement. Its rows are counted only.
type answer struct {
	rows, bytes int
	row         string
	signature   string
	code, text  string
	state       string
}

func (a answer) String() string {
	if a.code != "" {
		return "ERROR " + a.code + " " + a.text
	}
	return fmt.Sprintf("COMPLETE %s, %d rows, %d bytes", a.signature, a.rows, a.bytes)
}

var asked atomic.Int64

// dial begins a session for a database.
func dial(address, database string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &consumer{conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s u%d\r\n", database, asked.Add(1)); err != nil {
		c.close()
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("the start was answered %q", line)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

// ask runs a statement and returns its id, and its answer if that is whole.
func (c *consumer) ask(text string, patience time.Duration) (id string, a answer, err error) {
	id = fmt.Sprintf("%016x", asked.Add(1))
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, a, err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return id, a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows++
			a.bytes += len(rest)
			a.row = rest
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return id, a, nil
		}
	}
}

// manifest returns the operator's manifest: three routes for each service.
func manifest(version int, services []string) map[string]any {
	var routes, groups []map[string]any
	for n, service := range services {
		for host, kind := range map[string]string{"billing": "primary", "balance": "bounded_staleness", "booking": "read_your_writes"} {
			host = fmt.Sprintf("%s%d", host, n+1)
			routes = append(routes, map[string]any{
				"name": "r-" + host, "host": host, "type": kind, "service": service, "priority": 1,
				"timeout_ms": statementTimeout, "max_stale_ms": maxStaleMs, "slo_ms": 500,
			})
		}
		groups = append(groups, map[string]any{"name": service, "max_conns": connectionCap, "sync_replicas": 1})
	}
	return map[string]any{"version": version, "routes": routes, "services": groups, "limits": map[string]any{"tx_idle_ms": 3000}}
}
