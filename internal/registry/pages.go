// Package registry divides the machine registry into pages. A page is one key of the state service
// and holds many machines.
//
// With a separate key for each machine, many machines that came up at the same time used up all
// writes that the state service allows in several seconds, and job submissions were delayed.
//
// The package decides which pages one transaction writes, and with which machines. It knows neither
// the store nor why machines are added and removed, and has no clock, input or output.
//
// Invariants: a machine is on at least one page from when it is added until it is removed, even
// while it moves between pages; and no plan changes more pages than one transaction may.
package registry

import (
	"fmt"
	"iter"

	"github.com/chalkhub/chalkhub/internal/records"
)

// recordOverhead is an upper bound of a machine record's encoded size in bytes without its strings.
const recordOverhead = 64

// Limits limits the size of pages and of the transactions that write them.
type Limits struct {
	ValueBytes   int // largest value of the store; a larger page can't be written
	PageBytes    int // machines are added to a page only up to this size
	PagesPerPlan int // how many pages one plan may change
}

// Registry describes the current registry, from which a plan starts.
type Registry struct {
	// Pages iterates over the pages in the order of their keys, each with the names of its
	// machines. Page returns the names of the machines on the page with the given key, and PageCount
	// is the number of pages.
	Pages     iter.Seq2[string, []string]
	Page      func(key string) []string
	PageCount int
	// Record returns the record of a machine that is on a page or is to be added.
	Record func(name string) records.Machine
	// Removed reports whether a machine is to be removed from the registry.
	Removed func(name string) bool
}

// Page is the new content of a page. A page without machines is to be deleted.
type Page struct {
	Machines map[string]records.Machine
	bytes    int
}

// RecordSize returns an upper bound, a few bytes above the actual number, of the bytes that a
// machine takes on its page, in the encoding to which the store's limits apply.
func RecordSize(name string, record *records.Machine) int {
	return recordOverhead + len(name) + len(record.Addr) + len(record.Type) + len(record.Zone)
}

// Plan returns the pages to write, by key, so that the given machines are added and those for which
// Removed is true are removed. Changes beyond the limit of one transaction are left for a later
// plan.
//
// A page may be larger than a value may be now, if that limit was lowered. Such a page can't be
// written any more. Its machines are first added to other pages, so that they are temporarily on
// two pages, and then the whole page is deleted.
func Plan(registry Registry, add []string, limits Limits) map[string]*Page {
	p := &planner{Registry: registry, limits: limits, toAdd: add, sizes: map[string]int{}, changed: map[string]*Page{}}
	p.measurePages()
	p.removeMachines()
	p.addMachines()
	return p.changed
}

// planner holds the state of a plan while it is computed.
type planner struct {
	Registry
	limits  Limits
	toAdd   []string         // machines that still have to be added to a page
	sizes   map[string]int   // current bytes of each page, without the plan's changes
	changed map[string]*Page // new contents of the pages that the plan changes, by key
}

// measurePages computes the current size of each page.
func (p *planner) measurePages() {
	for key, names := range p.Pages {
		size := 0
		for _, name := range names {
			record := p.Record(name)
			size += RecordSize(name, &record)
		}
		p.sizes[key] = size
	}
}

// oversized reports whether a page is too large to be written.
func (p *planner) oversized(key string) bool { return p.sizes[key] > p.limits.ValueBytes }

// underPageLimit reports whether the plan may change one more page.
func (p *planner) underPageLimit() bool { return len(p.changed) < p.limits.PagesPerPlan }

// edit returns the new content of a page, which starts as a copy of the current content.
func (p *planner) edit(key string) *Page {
	if p.changed[key] == nil {
		page := &Page{Machines: map[string]records.Machine{}, bytes: p.sizes[key]}
		for _, name := range p.Page(key) {
			page.Machines[name] = p.Record(name)
		}
		p.changed[key] = page
	}
	return p.changed[key]
}

// removeMachines removes machines from their pages, and begins or completes the move of machines
// from oversized pages to others.
func (p *planner) removeMachines() {
	onOtherPage := p.findOnOtherPages()
	for key, names := range p.Pages {
		if p.oversized(key) {
			p.clearOversized(key, names, onOtherPage)
			continue
		}
		for _, name := range names {
			if p.Removed(name) && (p.changed[key] != nil || p.underPageLimit()) {
				page, record := p.edit(key), p.Record(name)
				page.bytes -= RecordSize(name, &record)
				delete(page.Machines, name)
			}
		}
	}
}

// clearOversized schedules the machines of an oversized page to be added to other pages. Once none
// of its machines is on this page only, it deletes the page.
func (p *planner) clearOversized(key string, names []string, onOtherPage map[string]bool) {
	onlyHere := 0
	for _, name := range names {
		if !p.Removed(name) && !onOtherPage[name] {
			onlyHere++
			p.toAdd = append(p.toAdd, name)
		}
	}
	if onlyHere == 0 && p.underPageLimit() {
		p.changed[key] = &Page{}
	}
}

// findOnOtherPages returns, for each machine on an oversized page, whether it is also on a page that
// is not oversized.
func (p *planner) findOnOtherPages() map[string]bool {
	onOtherPage := map[string]bool{}
	for key, names := range p.Pages {
		if p.oversized(key) {
			for _, name := range names {
				onOtherPage[name] = false
			}
		}
	}
	if len(onOtherPage) == 0 {
		return onOtherPage
	}
	for key, names := range p.Pages {
		for _, name := range names {
			if _, onOversizedPage := onOtherPage[name]; onOversizedPage && !p.oversized(key) {
				onOtherPage[name] = true
			}
		}
	}
	return onOtherPage
}

// addMachines adds machines to the first pages that have space, and then to new pages.
func (p *planner) addMachines() {
	for n := 0; len(p.toAdd) > 0; n++ {
		key := PageKey(n)
		if p.changed[key] == nil && !p.underPageLimit() {
			if n > p.PageCount+len(p.changed) {
				return // no page that this plan may change has space; the rest is left for a later plan
			}
			continue
		}
		if p.changed[key] == nil && p.full(key) || p.oversized(key) {
			continue
		}
		p.fill(p.edit(key))
	}
}

// full reports whether a page that the plan has not changed has no space for the next machine.
func (p *planner) full(key string) bool {
	next := p.Record(p.toAdd[0])
	return p.sizes[key] > 0 && p.sizes[key]+RecordSize(p.toAdd[0], &next) > p.limits.PageBytes
}

// fill adds machines to a page until it is full. An empty page takes at least one machine, of any
// size.
func (p *planner) fill(page *Page) {
	for len(p.toAdd) > 0 {
		name, record := p.toAdd[0], p.Record(p.toAdd[0])
		size := RecordSize(name, &record)
		if page.bytes+size > p.limits.PageBytes && len(page.Machines) > 0 {
			return
		}
		page.Machines[name] = record
		page.bytes += size
		p.toAdd = p.toAdd[1:]
	}
}

// PageKey returns the key of page n, counted from 0, without the registry's key prefix.
func PageKey(n int) string { return fmt.Sprintf("%04d", n) }
