#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/net/http_client.h"
#include "sse_parser.h"

namespace bulrushstack::detail {

/// EngineStream that reads server-sent events from an HTTP response. Validates offsets, event types, JSON and the end
/// marker.
class HttpEngineStream final : public EngineStream {
public:
    /// `nextOffset` is the expected offset of the first event.
    HttpEngineStream(HttpClient& client, Address engine, std::unique_ptr<HttpStream> stream, std::uint64_t nextOffset);

    boost::asio::awaitable<Result<StreamEvent>> next() override;
    void close() override;

private:
    /// Returns the next server-sent event; reads more of the response body as needed.
    boost::asio::awaitable<Result<SseEvent>> readEvent();
    /// Validates a server-sent event and converts it.
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
