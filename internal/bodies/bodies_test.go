package bodies

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// uncharged is the charge of budgets that belong to no account.
func uncharged(int64) {}

func TestRead(t *testing.T) {
	small, large := strings.Repeat("s", 1000), strings.Repeat("l", 3*SmallBytes)
	tests := map[string]struct {
		body          string
		length, limit int64
		// wantUsed is the memory that is reserved afterwards.
		wantUsed int64
		wantErr  error
	}{
		"small":                       {body: small, length: 1000, limit: 2000},
		"small, of unknown length":    {body: small, length: -1, limit: 2000},
		"empty":                       {length: 0, limit: 10},
		"empty, of unknown length":    {length: -1, limit: 10},
		"large":                       {body: large, length: 3 * SmallBytes, limit: 4 * SmallBytes, wantUsed: 3 * SmallBytes},
		"large, of unknown length":    {body: large, length: -1, limit: 4 * SmallBytes, wantUsed: 3 * SmallBytes},
		"of the largest size":         {body: large, length: -1, limit: 3 * SmallBytes, wantUsed: 3 * SmallBytes},
		"too large":                   {body: large, length: 3 * SmallBytes, limit: SmallBytes, wantErr: ErrTooLarge},
		"too large, unknown length":   {body: large, length: -1, limit: 2 * SmallBytes, wantUsed: 2 * SmallBytes, wantErr: ErrTooLarge},
		"small, too large":            {body: small, length: -1, limit: 999, wantErr: ErrTooLarge},
		"ends early":                  {body: small, length: 1001, limit: 2000, wantErr: io.ErrUnexpectedEOF},
		"large, ends early":           {body: large, length: 3*SmallBytes + 1, limit: 4 * SmallBytes, wantUsed: 3*SmallBytes + 1, wantErr: io.ErrUnexpectedEOF},
		"longer than its length says": {body: small, length: 10, limit: 2000, wantErr: ErrTooLarge},
	}
	for name, test := range tests {
		for reader, wrap := range map[string]func(io.Reader) io.Reader{
			"": func(r io.Reader) io.Reader { return r }, ", byte by byte": iotest.OneByteReader, ", end with the last bytes": iotest.DataErrReader,
		} {
			t.Run(name+reader, func(t *testing.T) {
				c := qt.New(t)
				b, lease := New(16*SmallBytes, uncharged), new(Lease)
				got, err := b.Read(c.Context(), lease, wrap(strings.NewReader(test.body)), test.length, test.limit)
				c.Check(errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
				if err == nil {
					c.Check(string(got), qt.Equals, test.body)
				}
				c.Check(b.Used(), qt.Equals, test.wantUsed)
				lease.Release()
				lease.Release()
				c.Check(b.Used(), qt.Equals, int64(0))
			})
		}
	}
}

// TestBodyThatIsCutOffIsNotWhole reads bodies whose connection ends too soon, which net/http reports as io.ErrUnexpectedEOF.
func TestBodyThatIsCutOffIsNotWhole(t *testing.T) {
	for name, size := range map[string]int{"small": 1000, "large": 3 * SmallBytes} {
		for _, length := range []int64{-1, int64(size) + 10} {
			t.Run(fmt.Sprint(name, " ", length), func(t *testing.T) {
				c := qt.New(t)
				lease := new(Lease)
				defer lease.Release()
				cut := io.MultiReader(strings.NewReader(strings.Repeat("x", size)), iotest.ErrReader(io.ErrUnexpectedEOF))
				_, err := New(16*SmallBytes, uncharged).Read(c.Context(), lease, cut, length, 4*SmallBytes)
				c.Check(err, qt.Equals, io.ErrUnexpectedEOF)
			})
		}
	}
}

// TestBodiesWaitForMemory has 24 callers send 4 MiB each to a host that sets 16 MiB aside: all get through, and never more
// than that is reserved. One that can't wait is told so.
func TestBodiesWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const limit, size, hold = 16 << 20, 4 << 20, time.Second
		b := New(limit, uncharged)
		body := bytes.Repeat([]byte("b"), size)
		var callers sync.WaitGroup
		for n := range 24 {
			callers.Go(func() {
				var lease Lease
				defer lease.Release()
				length := int64(size)
				if n%2 == 0 {
					length = -1
				}
				got, err := b.Read(t.Context(), &lease, bytes.NewReader(body), length, size)
				c.Check(err, qt.IsNil)
				c.Check(len(got), qt.Equals, size)
				c.Check(b.Used() <= limit, qt.IsTrue)
				time.Sleep(hold)
			})
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), hold/2)
		defer cancel()
		_, err := b.Read(ctx, new(Lease), bytes.NewReader(body), size, size)
		c.Check(err, qt.Equals, ErrNoMemory)
		callers.Wait()
		c.Check(b.Used(), qt.Equals, int64(0))
	})
}

// TestBodyLargerThanBudgetIsReadAlone reads a body that is larger than the whole budget.
func TestBodyLargerThanBudgetIsReadAlone(t *testing.T) {
	c := qt.New(t)
	b, lease := New(SmallBytes, uncharged), new(Lease)
	got, err := b.Read(c.Context(), lease, strings.NewReader(strings.Repeat("x", 2*SmallBytes)), 2*SmallBytes, 4*SmallBytes)
	c.Assert(err, qt.IsNil)
	c.Check(len(got), qt.Equals, 2*SmallBytes)
}
