package announce

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestList announces each value three times, the first time through Unsent.
func TestList(t *testing.T) {
	c := qt.New(t)
	l := New[string](2)
	c.Check(l.IsEmpty(), qt.IsTrue)
	l.Add("a")
	c.Check(l.Unsent(), qt.DeepEquals, []string{"a"})
	c.Check(l.Unsent(), qt.HasLen, 0)
	l.Add("b")
	c.Check(l.Unsent(), qt.DeepEquals, []string{"b"})
	c.Check(l.All(), qt.DeepEquals, []string{"a", "b"})
	c.Check(l.All(), qt.DeepEquals, []string{"a", "b"})
	c.Check(l.IsEmpty(), qt.IsTrue)
	c.Check(l.All(), qt.HasLen, 0)
}
