package frontend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type fakeWrite struct{ occupies, aborted bool }

func (w *fakeWrite) OccupiesServer() bool { return w.occupies }
func (w *fakeWrite) Abort()               { w.occupies, w.aborted = false, true }

// TestSlowReadersLeaveSlots guards against callers that read nothing and occupy all slots of a service, and against breaking off
// a response whose back end is free, or that of another service.
func TestSlowReadersLeaveSlots(t *testing.T) {
	const limit = 2
	var s slowReaders
	writes := make([]*fakeWrite, 5)
	for number := range writes {
		writes[number] = &fakeWrite{occupies: true}
	}
	other := &fakeWrite{occupies: true}
	removeOther := s.add("other", other)
	var removes []func()
	for _, write := range writes {
		removes = append(removes, s.add("a", write))
	}
	writes[0].occupies = false
	s.enforce("a", limit)
	require.Equal(t, fakeWrite{}, *writes[0], "its back end is free")
	for number, aborted := range []bool{false, true, true, false, false} {
		require.Equal(t, aborted, writes[number].aborted, "the oldest")
	}
	s.enforce("a", limit)
	require.False(t, writes[3].aborted)
	for _, remove := range append(removes, removeOther) {
		remove()
		remove()
	}
	require.Empty(t, s.services)
	require.False(t, other.aborted)
}
