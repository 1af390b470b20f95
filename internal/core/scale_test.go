package core_test

import (
	"fmt"
	"testing"

	"github.com/chalkhub/chalkhub/internal/fake"
)

// grown begins a story with n machines of 16 CPUs that are full, and as much
// work again waiting.
func grown(tb testing.TB, seed uint64, n int) *story {
	tb.Helper()
	s := begin(tb, seed)
	for i := range n {
		zone := "a"
		if i%2 == 1 {
			zone = "b"
		}
		s.Cloud.Add("barn", zone, true)
	}
	for range n / 10 {
		s.Users.Submit(fake.Array(16*10*2), 20+s.Rand.Float64()*20)
	}
	s.within(90*second, "nearly every CPU is taken", func() bool { return s.Users.Running() >= n*15 })
	return s
}

// BenchmarkSecond is a second of a busy deployment: reports, rounds and all.
// The growth between the sizes is what counts.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := grown(b, 1, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.Users.Submit(fake.Array(n/2), 30)
				s.Run(s.Now + second)
			}
		})
	}
}
