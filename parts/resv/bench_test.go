package resv_test

import (
	"testing"
	"time"

	"fuchsiashelf.dev/parts/resv"
)

// fullBook returns a book with 4,096 keys.
func fullBook() *resv.Book {
	b := &resv.Book{}
	for key := range uint64(4096) {
		b.Promise("s", key, time.Second, 5*time.Second, 30, start)
	}
	return b
}

func BenchmarkPromise(b *testing.B) {
	book := fullBook()
	b.ReportAllocs()
	key := uint64(4096)
	for b.Loop() {
		key++
		book.Promise("s", key, time.Second, 5*time.Second, 30, start)
	}
}

func BenchmarkArrive(b *testing.B) {
	book := fullBook()
	b.ReportAllocs()
	key := uint64(0)
	for b.Loop() {
		key++
		book.Arrive(key%4096, start)
	}
}

func BenchmarkPromises(b *testing.B) {
	book := fullBook()
	for b.Loop() {
		book.Promises(start)
	}
}
