package main

import (
	"fmt"
	"net"
	"os"

	"github.com/goccy/go-json"
)

// readJSON reads a settings file.
func readJSON(path string, out any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// listen listens on an address.
func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen on %s, another program may be using it: %w", addr, err)
	}
	return l, nil
}
