package core

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// longs accepts jobs whose records are larger than a value: a user may name thousands of
// jobs that one needs, or dozens of machine types. The record goes into pieces, each below a
// key that is written once, by one attempt of one controller; then the job's own key says
// how many there are and whose. The job is accepted with that, and with nothing before.
//
// An attempt goes on after its request was answered with 503: at a small write rate it takes
// longer than a user waits for one answer, and the next try finds the job accepted.
type longs struct {
	c    *Core
	n    int
	work *attempt                 // under way, nil: none
	seen map[string]time.Duration // on the leader: attempts that no job refers to, since when
	busy bool
}

// attempt is a record on its way into the state service.
type attempt struct {
	rec    wire.JobRecord // the whole
	nonce  string
	pieces []string
	sent   int
	first  uint64 // revision of the first piece
	until  time.Duration
}

// lotSize is what a lot takes beside its jobs, generously.
const lotSize = 32

func pieceKey(id, nonce string, n int) string {
	return fmt.Sprintf("%s%s/%s/%04d", keyLong, id, nonce, n)
}

// accept begins an attempt, one at a time, and has the user come again.
func (x *longs) accept(id RequestID, rec wire.JobRecord) {
	l := x.c.ledger
	if l.tooEarly(id, "descriptions of this size") {
		return
	}
	if x.work == nil {
		var packed bytes.Buffer
		w, _ := flate.NewWriter(&packed, flate.BestCompression) // the level is one of its own
		_, _ = w.Write(wire.Encode(rec))                        // a buffer takes all
		_ = w.Close()
		text := base64.RawStdEncoding.EncodeToString(packed.Bytes())
		x.n++
		x.work = &attempt{rec: rec, nonce: fmt.Sprintf("%s-%d", x.c.boot, x.n), until: x.c.now.Steady + x.patience()}
		for p := range slices.Chunk([]byte(text), x.c.valueSize()*3/4) {
			x.work.pieces = append(x.work.pieces, string(p))
		}
		x.next()
	}
	l.later(id, "its description is long and is being stored: repeat this in a moment")
}

// patience is how long an attempt may take; so long users repeat a submission.
func (x *longs) patience() time.Duration { return 3 * x.c.times.lease }

// next writes some of the pieces, or after the last of them the job's own key.
func (x *longs) next() {
	a, l := x.work, x.c.ledger
	if wait := l.lots.spend(); wait > 0 {
		x.c.after(wait, x.next)
		return
	}
	spec := &a.rec.Spec
	if x.c.now.Steady > a.until || l.accepted(spec.ID) != nil || !l.fresh() {
		x.work = nil // in vain: another one was first, or it takes too long
		return
	}
	guards := []wire.Guard{}
	var ops []wire.Op
	last := a.sent == len(a.pieces)
	for ; a.sent < len(a.pieces) && len(ops) < x.c.txnOps(); a.sent++ {
		if len(ops) > 0 && l.lots.spend() > 0 {
			break
		}
		key := pieceKey(spec.ID, a.nonce, a.sent)
		guards = append(guards, wire.Guard{Key: key})
		ops = append(ops, wire.Op{Put: key, Value: wire.PieceRecord{Text: a.pieces[a.sent]}})
	}
	if last {
		// As long as the first piece is there none has been swept: it goes first.
		guards = append(freeGuards(spec.ID, true), wire.Guard{Key: pieceKey(spec.ID, a.nonce, 0), Version: a.first})
		short := wire.JobRecord{Spec: wire.Job{ID: spec.ID}, State: a.rec.State, At: a.rec.At, Pieces: len(a.pieces), Nonce: a.nonce}
		ops = []wire.Op{{Put: keyRun + spec.ID, Value: short}}
	}
	l.commit(guards, ops, func(d CommitDone) {
		switch {
		case last:
			x.work = nil
		case d.Outcome == Committed:
			x.stored(d.Answer.Revision)
		case d.Outcome == CommitUnknown:
			// Guards against pieces written anew, and in vain again, as long as answers
			// are lost: the mirror says what became of these.
			l.barrier(func(bool) { x.stored(l.versions[pieceKey(spec.ID, a.nonce, a.sent-1)]) })
		default:
			x.work = nil
		}
	})
}

// stored goes on after pieces that were written at a revision; 0: they were not.
func (x *longs) stored(revision uint64) {
	if revision == 0 {
		x.work = nil
		return
	}
	if x.work.first == 0 {
		x.work.first = revision
	}
	x.next()
}

// putPiece and dropPiece follow the pieces in the mirror.
func (l *ledger) putPiece(key string, value wire.Raw) error {
	var rec wire.PieceRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	id, _, _ := strings.Cut(key[len(keyLong):], "/")
	if l.pieces[id] == nil {
		l.pieces[id] = map[string]string{}
	}
	l.pieces[id][key] = rec.Text
	return nil
}

func (l *ledger) dropPiece(key string) {
	id, _, _ := strings.Cut(key[len(keyLong):], "/")
	if delete(l.pieces[id], key); len(l.pieces[id]) == 0 {
		delete(l.pieces, id)
	}
}

// join makes a job's record whole. Its pieces are read before its own key, since they were
// written before it and their keys come first.
func (l *ledger) join(rec *wire.JobRecord) error {
	id := rec.Spec.ID
	var text strings.Builder
	for n := range rec.Pieces {
		key := pieceKey(id, rec.Nonce, n)
		piece, ok := l.pieces[id][key]
		if !ok {
			return fmt.Errorf("piece %d of %d of its record is missing", n+1, rec.Pieces)
		}
		text.WriteString(piece)
		l.keeps(id, key)
		l.pieces[id][key] = "" // it is in the job's record now
	}
	packed, err := base64.RawStdEncoding.DecodeString(text.String())
	if err != nil {
		return err
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), 4*wire.MaxBody))
	if err != nil {
		return err
	}
	var whole wire.JobRecord
	if err := wire.Decode(b, &whole); err != nil {
		return err
	}
	whole.State, whole.At, whole.Zones = rec.State, rec.At, rec.Zones
	*rec = whole
	return nil
}

// putZones takes the zones of a job whose record could not be written again.
func (l *ledger) putZones(key string, value wire.Raw) error {
	var rec wire.JobRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	if j := l.keeps(key[len(keyZones):], key); j != nil {
		j.rec.Zones = rec.Zones
	}
	return nil
}

// sweep deletes, on the leader, pieces of attempts that came to nothing: that the job was
// accepted without, or that are older than any attempt can be.
func (x *longs) sweep() {
	l, c := x.c.ledger, x.c
	if len(l.pieces) == 0 || x.busy {
		return
	}
	if x.seen == nil {
		x.seen = map[string]time.Duration{}
	}
	for _, id := range sortedKeys(l.pieces) {
		j := l.accepted(id)
		for _, key := range sortedKeys(l.pieces[id]) {
			if j != nil && !j.final() && slices.Contains(j.kept, key) {
				continue
			}
			if j != nil {
				l.leavings[key] = true
				continue
			}
			if _, ok := x.seen[key]; !ok {
				x.seen[key] = c.now.Steady
			}
			if c.now.Steady-x.seen[key] < 2*x.patience() || c.orch.writes < 1 {
				continue
			}
			// The first piece goes first: the job's own key may be on its way.
			c.orch.writes--
			x.busy = true
			delete(x.seen, key)
			guards := append(freeGuards(id, true), c.members.leaderGuard(), l.guard(key))
			l.commit(guards, []wire.Op{{Delete: key}}, func(d CommitDone) {
				l.lookAgain(d.Outcome.Decided(), c.times.round, func() { x.busy = false })
			})
			return
		}
	}
}
