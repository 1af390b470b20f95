package peer

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// browserRequestPrefix begins every request of a browser, and no message.
const browserRequestPrefix = "GET "

// peekBrowserRequest reports whether a connection begins with a browser's request.
func peekBrowserRequest(reader *bufio.Reader) (bool, error) {
	head, err := reader.Peek(len(browserRequestPrefix))
	return string(head) == browserRequestPrefix, err
}

// serveStatusPage answers a browser with the status page, whatever path it asks for, and
// closes the connection.
func (l *Links) serveStatusPage(conn net.Conn) {
	defer closeConn(conn)
	status := "200 OK"
	body, ok := l.statusPage()
	if !ok {
		status, body = "503 Service Unavailable", []byte("{}")
	}
	if err := conn.SetWriteDeadline(time.Now().Add(l.settings.Timeout)); err != nil {
		return
	}
	header := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", status, len(body))
	// A browser that is gone needs no answer.
	_, _ = conn.Write(append([]byte(header), body...))
}
