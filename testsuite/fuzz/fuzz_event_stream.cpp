// Streams of upstreams, split into events. The first byte of the input is the size of the pieces in which the rest
// arrives.

#include "event_splitter.h"
#include "fuzzer.h"

#include <string>

using namespace bulrushstack;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto text = asText(data + 1, size - 1);
    const std::size_t pieceSize = std::size_t { data[0] } + 1;
    EventSplitter pieces;
    std::string events;
    for (std::size_t i = 0; i < text.size(); i += pieceSize)
        events += pieces.extractEvents(text.substr(i, pieceSize));
    require(events.size() + pieces.pendingBytes() == text.size());
    require(text.starts_with(events));

    EventSplitter whole;
    require(whole.extractEvents(text) == events);
    require(whole.eventCount() == pieces.eventCount());
    require(whole.lastEventId() == pieces.lastEventId());
    return 0;
}
