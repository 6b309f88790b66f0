package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// adminTimeout is the timeout of one call to a running server.
const adminTimeout = 5 * time.Second

// replicationPath is the path of the operators' calls about replication.
const replicationPath = "/control/copies"

// adminClient makes operators' calls to a running server.
type adminClient struct {
	address string
}

// adminError is the error response of a server to a call.
type adminError struct {
	Status int    // the HTTP status code
	Reason string // as the server gave it
}

// Error is part of error.
func (e *adminError) Error() string {
	text := "replication: " + e.Reason
	if e.Status == http.StatusNotFound {
		text += "; is replication on (deploy/copies.toml)?"
	}
	return text
}

// do makes one call about replication and decodes its response.
func (c adminClient) do(method, call string, parameters url.Values, into any) (err error) {
	target := url.URL{Scheme: "http", Host: c.address, Path: replicationPath, RawQuery: parameters.Encode()}
	if call != callStatus {
		target.Path += "/" + call
	}
	request, err := http.NewRequest(method, target.String(), nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("replication: no server answers at %s: %w", c.address, err)
	}
	defer func() { _ = response.Body.Close() }() // the response has been read; an error adds nothing
	if response.StatusCode != http.StatusOK {
		return readAdminError(response)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// readAdminError reads an error response. It removes the prefixes that name the package of the server's error.
func readAdminError(response *http.Response) error {
	var answer struct{ Error string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Error == "" {
		answer.Error = response.Status
	}
	reason := answer.Error
	for _, part := range []string{"copies: ", "replication: ", "consensus: "} {
		reason = strings.TrimPrefix(reason, part)
	}
	return &adminError{Status: response.StatusCode, Reason: reason}
}
