#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/net/http_client.h"
#include "sse_parser.h"

namespace bulrushstack::detail {

/// A stream of an engine over HTTP; checks offsets, event types, JSON and the end marker.
class HttpEngineStream final : public EngineStream {
public:
    /// `nextOffset` is the offset that the first event must have.
    HttpEngineStream(HttpClient& client, Address engine, std::unique_ptr<HttpStream> stream, std::uint64_t nextOffset);

    boost::asio::awaitable<Result<StreamEvent>> next() override;
    void close() override;

private:
    /// Returns the next event of the parser, reading as needed.
    boost::asio::awaitable<Result<SseEvent>> readEvent();
    Result<StreamEvent> toStreamEvent(SseEvent event);

    HttpClient& m_client;
    Address m_engine;
    std::shared_ptr<HttpStream> m_stream;
    SseParser m_parser;
    std::uint64_t m_nextOffset;
    std::optional<Failure> m_failure;
    bool m_isEnded = false;
};

} // namespace bulrushstack::detail
