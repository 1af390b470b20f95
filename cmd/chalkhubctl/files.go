package main

import (
	"fmt"
	"net"
	"os"

	"github.com/goccy/go-json"
)

// readJSON reads a JSON settings file into out.
func readJSON(path string, out any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("cannot parse settings file %s: %w", path, err)
	}
	return nil
}

// listen listens on an IPv4 address and TCP port. Its error names the address and the usual cause.
func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen on %s, another program may be using it: %w", addr, err)
	}
	return l, nil
}
