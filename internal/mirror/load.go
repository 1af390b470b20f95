package mirror

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Page answers RequestPage.
type Page struct {
	OK       bool
	SentAt   time.Duration // when the request left
	Items    []protocol.KeyValue
	More     bool // this is not the last page
	Revision uint64
}

// HandlePage takes a page of the keys and asks for the next. What changes meanwhile comes
// again through the watch, which goes on from the first page's revision.
//
// Guards the state service's rate limit, and a load of a hundred thousand jobs against
// beginning anew whenever one of its pages is refused.
func (m *Mirror) HandlePage(page Page) {
	if !page.OK {
		m.host.After(m.options.MaxStaleness/retryDivisor, m.requestPage)
		return
	}
	if m.load.afterKey == "" {
		m.beginLoad(page)
	}
	for _, item := range page.Items {
		m.put(item.Key, item.Value, item.Version)
	}
	if page.More && len(page.Items) > 0 {
		m.load.afterKey = page.Items[len(page.Items)-1].Key
		m.load.pacer.send(m.host, m.options.PageInterval, m.requestPage)
		return
	}
	m.finishLoad()
}

func (m *Mirror) beginLoad(first Page) {
	clear(m.versions)
	m.replica.Reset()
	m.load.revision, m.load.sentAt = first.Revision, first.SentAt
}

func (m *Mirror) finishLoad() {
	m.load.afterKey = ""
	m.replica.EndBatch()
	m.phase = following
	m.revision, m.freshAt = m.load.revision, m.load.sentAt
	m.replica.Loaded()
}
