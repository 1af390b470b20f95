// Package registry lays the machine registry out on pages: keys of a store that hold many
// machines each.
//
// With a key for each machine, a wave of machines that came up took the write budget of several
// seconds, and submissions waited behind it.
//
// The package owns the choice of pages: which are written, with what, in one transaction. It
// knows neither the store nor why machines come and go, and has no clock, input or output. Its
// invariants: a machine is on some page from when it was added until it is removed, also while
// it moves between pages, and no plan changes more pages than one transaction may.
package registry

import (
	"fmt"
	"iter"

	"github.com/chalkhub/chalkhub/internal/records"
)

// recordOverhead is the encoded size of a machine's record without its texts, rounded up.
const recordOverhead = 64

// Limits bound pages and the transactions that write them.
type Limits struct {
	ValueBytes   int // a page larger than this can't be written
	PageBytes    int // a page is filled up to this
	PagesPerPlan int // so many pages may change at once
}

// Registry is what a plan starts from.
type Registry struct {
	// Pages walks over the pages in the order of their keys, each with the names of its
	// machines. Page is one of them by its key, and PageCount is their number.
	Pages     iter.Seq2[string, []string]
	Page      func(key string) []string
	PageCount int
	// Record is the record of a machine that is on a page or to be added.
	Record func(name string) records.Machine
	// Removed reports whether a machine is to be taken out.
	Removed func(name string) bool
}

// Page is a page as it is to be written; without machines it is to be deleted.
type Page struct {
	Machines map[string]records.Machine
	bytes    int
}

// RecordSize is how many bytes a machine takes on its page, in the form in which limits are
// counted, or a few more.
func RecordSize(name string, record *records.Machine) int {
	return recordOverhead + len(name) + len(record.Addr) + len(record.Type) + len(record.Zone)
}

// Plan chooses the pages to write for the machines to add, and for those that are removed. What
// does not fit into one transaction is left for a later plan.
//
// A page that is larger than a value may be by now can't be written any more. Its machines are
// put on others, where they stand twice for a while, and then it is deleted whole.
func Plan(registry Registry, add []string, limits Limits) map[string]*Page {
	p := &planner{Registry: registry, limits: limits, toAdd: add, sizes: map[string]int{}, changed: map[string]*Page{}}
	p.measurePages()
	p.removeMachines()
	p.addMachines()
	return p.changed
}

// planner is a plan in the making.
type planner struct {
	Registry
	limits  Limits
	toAdd   []string         // machines that still have to be put on a page
	sizes   map[string]int   // bytes of each page as it is now
	changed map[string]*Page // by key
}

// measurePages notes the size of each page.
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

// oversized reports whether a page can't be written any more.
func (p *planner) oversized(key string) bool { return p.sizes[key] > p.limits.ValueBytes }

// underPageLimit reports whether one more page may change.
func (p *planner) underPageLimit() bool { return len(p.changed) < p.limits.PagesPerPlan }

// edit is a page that changes, as it is now if it has not changed before.
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

// removeMachines takes out what is to be removed, and has the machines of oversized pages added
// to others.
func (p *planner) removeMachines() {
	elsewhere := p.findOnOtherPages()
	for key, names := range p.Pages {
		if p.oversized(key) {
			p.clearOversized(key, names, elsewhere)
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

// clearOversized has the machines of an oversized page added to other pages, and deletes it
// once none of them is on it alone.
func (p *planner) clearOversized(key string, names []string, elsewhere map[string]bool) {
	alone := 0
	for _, name := range names {
		if !p.Removed(name) && !elsewhere[name] {
			alone++
			p.toAdd = append(p.toAdd, name)
		}
	}
	if alone == 0 && p.underPageLimit() {
		p.changed[key] = &Page{}
	}
}

// findOnOtherPages says of each machine of the oversized pages whether it is on another page too.
func (p *planner) findOnOtherPages() map[string]bool {
	elsewhere := map[string]bool{}
	for key, names := range p.Pages {
		if p.oversized(key) {
			for _, name := range names {
				elsewhere[name] = false
			}
		}
	}
	if len(elsewhere) == 0 {
		return elsewhere
	}
	for key, names := range p.Pages {
		for _, name := range names {
			if _, sought := elsewhere[name]; sought && !p.oversized(key) {
				elsewhere[name] = true
			}
		}
	}
	return elsewhere
}

// addMachines puts the machines to add on the first pages with room, and on new ones.
func (p *planner) addMachines() {
	for n := 0; len(p.toAdd) > 0; n++ {
		key := PageKey(n)
		if p.changed[key] == nil && !p.underPageLimit() {
			if n > p.PageCount+len(p.changed) {
				return // the rest goes with the next transaction
			}
			continue
		}
		if p.changed[key] == nil && p.full(key) || p.oversized(key) {
			continue
		}
		p.fill(p.edit(key))
	}
}

// full reports whether a page as it is now has no room for the next machine.
func (p *planner) full(key string) bool {
	next := p.Record(p.toAdd[0])
	return p.sizes[key] > 0 && p.sizes[key]+RecordSize(p.toAdd[0], &next) > p.limits.PageBytes
}

// fill puts machines on a page until it is full. An empty one takes at least one.
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

// PageKey is the key of the n-th page, below the registry's prefix.
func PageKey(n int) string { return fmt.Sprintf("%04d", n) }
