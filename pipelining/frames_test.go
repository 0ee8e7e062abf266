package pipelining

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/tuliphall/tuliphall/overload"
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

// TestFieldsBeyondLimitCostLittle guards against heads without an end that are read as slowly as if all of their fields were served.
func TestFieldsBeyondLimitCostLittle(t *testing.T) {
	const part = 16 << 10
	var sent bytes.Buffer
	framer := http2.NewFramer(&sent, nil)
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: make([]byte, part)}))
	for range 3 {
		require.NoError(t, framer.WriteContinuation(1, false, make([]byte, part)))
	}
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: make([]byte, 160)}))
	meter := frameMeter{preface: prefaceLength}
	require.Equal(t, requestCost+maxFieldsCost+3*frameCost+4*part/skippedBytesPerCost+requestCost+10, meter.count(sent.Bytes()))
}

// TestConnectionsWithMuchInProgressWeighLess guards against frames of such connections that delay those of others.
func TestConnectionsWithMuchInProgressWeighLess(t *testing.T) {
	meter := frameMeter{}
	require.Equal(t, 1.0, meter.weight())
	meter.requests = fewRequests
	require.Equal(t, 1.0, meter.weight())
	meter.requests = 4 * fewRequests
	require.Equal(t, 0.25, meter.weight())
	meter.large = true
	require.Equal(t, 0.25*largeWeight, meter.weight())
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

// TestRequestsBeyondAllowancesAreLarge guards against connections that reserve memory for small requests, which ordinary callers may
// not find, and against large ones that reserve none.
func TestRequestsBeyondAllowancesAreLarge(t *testing.T) {
	const frame = 1 << 10
	request := func(stream uint32, head, body int) []byte {
		var sent bytes.Buffer
		framer := http2.NewFramer(&sent, nil)
		require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: make([]byte, head), EndHeaders: true}))
		for ; body > 0; body -= frame {
			require.NoError(t, framer.WriteData(stream, false, make([]byte, min(body, frame))))
		}
		return sent.Bytes()
	}
	for name, test := range map[string]struct {
		sent  []byte
		large bool
	}{
		"small head":       {request(1, headBlockAllowance, 0), false},
		"large head":       {request(1, headBlockAllowance+1, 0), true},
		"small body":       {request(1, 1, overload.BodyAllowance), false},
		"large body":       {request(1, 1, overload.BodyAllowance+1), true},
		"two small bodies": {slices.Concat(request(1, 1, overload.BodyAllowance), request(3, 1, overload.BodyAllowance)), false},
		"trailers":         {slices.Concat(request(1, 1, overload.BodyAllowance), request(1, 1, 1)), true},
		"body as of three": {slices.Concat(request(1, 1, 0), request(3, 1, 0), request(5, 1, 3*overload.BodyAllowance)), false},
		"body as of four":  {slices.Concat(request(1, 1, 0), request(3, 1, 0), request(5, 1, 4*overload.BodyAllowance)), true},
	} {
		t.Run(name, func(t *testing.T) {
			meter := frameMeter{preface: prefaceLength}
			meter.count(test.sent)
			require.Equal(t, test.large, meter.large)
			for left := meter.requests; left > 0; left-- {
				require.Equal(t, left == 1, meter.endRequest())
			}
			require.False(t, meter.large)
		})
	}
	meter := frameMeter{preface: prefaceLength}
	for stream := uint32(1); stream < 100; stream += 2 {
		meter.count(request(stream, 1, overload.BodyAllowance))
		meter.bodies -= overload.BodyAllowance
		if stream > 1 {
			require.False(t, meter.endRequest(), "small bodies that are read, always one in progress")
		}
	}
	require.False(t, meter.large)
	meter = frameMeter{preface: prefaceLength}
	meter.count(request(1, 1, 0))
	var unfinished bytes.Buffer
	require.NoError(t, http2.NewFramer(&unfinished, nil).WriteContinuation(1, false, nil))
	meter.count(unfinished.Bytes())
	require.True(t, meter.large)
}
