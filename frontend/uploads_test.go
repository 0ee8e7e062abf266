package frontend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/resultcode"
)

// TestUploadsLeaveSlots guards against callers that stop in the middle of their bodies and occupy all slots of a service,
// against a turn that is lost, and against one service that waits for another.
func TestUploadsLeaveSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 2
		var u uploads
		begin := func(service string, timeout time.Duration) (func(), *resultcode.Failure) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return u.begin(ctx, service, limit, limit*maxWaitingUploads)
		}
		first, failure := begin("a", time.Second)
		require.Nil(t, failure)
		second, failure := begin("a", time.Second)
		require.Nil(t, failure)
		_, failure = begin("a", time.Second)
		require.Equal(t, resultcode.WaitExpired, failure.Code)
		other, failure := begin("b", time.Second)
		require.Nil(t, failure)
		other()

		turns := make(chan int, limit*maxWaitingUploads)
		ends := make(chan func(), limit*maxWaitingUploads)
		for number := range limit * maxWaitingUploads {
			go func() {
				end, failure := begin("a", time.Hour)
				if failure == nil {
					turns <- number
					ends <- end
				}
			}()
			synctest.Wait()
		}
		_, failure = begin("a", time.Hour)
		require.Equal(t, resultcode.QueueFull, failure.Code, "refused at once")
		require.Equal(t, resultcode.NotRun, failure.Code.Info().Run)
		first()
		first()
		for number := range limit * maxWaitingUploads {
			require.Equal(t, number, <-turns, "in the order of their arrival")
			end := <-ends
			end()
		}
		second()
		require.Empty(t, u.services)
	})
}

// TestUploadThatLeavesPassesItsTurnOn guards against a turn that comes in the moment in which its caller leaves.
func TestUploadThatLeavesPassesItsTurnOn(t *testing.T) {
	for range 100 {
		var u uploads
		end, failure := u.begin(t.Context(), "a", 1, maxWaitingUploads)
		require.Nil(t, failure)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan struct{})
		go func() {
			defer close(left)
			if end, failure := u.begin(ctx, "a", 1, maxWaitingUploads); failure == nil {
				end()
			} else if failure.Code != resultcode.CallerGone {
				t.Error(failure)
			}
		}()
		go cancel()
		end()
		<-left
		end, failure = u.begin(t.Context(), "a", 1, maxWaitingUploads)
		require.Nil(t, failure)
		end()
		require.Empty(t, u.services)
	}
}

// TestUploadsOfSmallService guards against a service with one slot that takes no uploads.
func TestUploadsOfSmallService(t *testing.T) {
	require.Equal(t, 1, shareOf(declaredSlots([]config.Backend{{Slots: 1}}), uploadShare))
	require.Equal(t, 12, shareOf(declaredSlots([]config.Backend{{Slots: 3}, {Slots: 21}}), uploadShare))
}

// TestUploadsUseRisingCapacity guards against uploads that go on to wait for each other once there are more slots.
func TestUploadsUseRisingCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u uploads
		begin := func(limit int) (func(), *resultcode.Failure) {
			return u.begin(t.Context(), "a", limit, maxWaitingUploads)
		}
		first, failure := begin(1)
		require.Nil(t, failure)
		ends := make(chan func(), 2)
		for _, limit := range []int{1, 3} {
			go func() {
				end, failure := begin(limit)
				if failure != nil {
					t.Error(failure)
				}
				ends <- end
			}()
			synctest.Wait()
		}
		require.Len(t, ends, 2, "neither waits for the first")
		first()
		(<-ends)()
		(<-ends)()
		require.Empty(t, u.services)
	})
}
