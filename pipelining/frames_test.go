package pipelining

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// TestFramesAreCounted guards against frames that are counted otherwise than they are read, whatever the pieces in which they
// arrive: the rate of all frames is limited by their costs.
func TestFramesAreCounted(t *testing.T) {
	var sent, block bytes.Buffer
	sent.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&sent, nil)
	require.NoError(t, hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: "x", Value: string(bytes.Repeat([]byte("~"), 1000))}))
	require.NoError(t, framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1}))
	wanted := frameCost
	for stream := uint32(1); stream < 20; stream += 2 {
		require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes()[:500]}))
		require.NoError(t, framer.WriteContinuation(stream, true, block.Bytes()[500:]))
		require.NoError(t, framer.WriteData(stream, false, make([]byte, 9000)))
		require.NoError(t, framer.WriteData(stream, true, nil))
		require.NoError(t, framer.WritePing(false, [8]byte{}))
		wanted += requestCost + 500/headerBytesPerCost + frameCost + (block.Len()-500)/headerBytesPerCost + 3*frameCost
	}
	for _, piece := range []int{1, 2, 9, 100, sent.Len()} {
		var meter frameMeter
		total := 0
		for rest := sent.Bytes(); len(rest) > 0; {
			part := rest[:min(piece, len(rest))]
			total += meter.count(part)
			rest = rest[len(part):]
		}
		require.Equal(t, wanted, total, "pieces of %d bytes", piece)
		require.Equal(t, 10, meter.requests)
		require.Zero(t, meter.left)
		require.False(t, meter.givesUpMost())
	}
}

// TestResetsAreCounted guards against callers that give up a few requests and are treated as those that give up most.
func TestResetsAreCounted(t *testing.T) {
	meter := frameMeter{requests: 1000, resets: 500}
	require.False(t, meter.givesUpMost())
	meter.resets++
	require.True(t, meter.givesUpMost())
	meter = frameMeter{requests: maxResets, resets: maxResets}
	require.False(t, meter.givesUpMost())
}
