#include "engine_stream.h"

#include "upstream_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace bulrushstack::detail {

namespace asio = boost::asio;

namespace {

constexpr std::string_view endMarker = "[DONE]";

Failure streamFailure(Errc code, std::string detail)
{
    return { .code = code, .verdict = Verdict::MayHaveRun, .detail = std::move(detail) };
}

std::optional<std::uint64_t> parseOffset(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return value;
}

/// Reads the end of the response body so that the connection can be reused; anything else closes the connection. Runs
/// as a separate coroutine, since the response is complete at the end marker and the caller must not wait for the body
/// to end.
asio::awaitable<void> readBodyEnd(std::shared_ptr<HttpStream> stream) { co_await stream->read(); }

} // namespace

HttpEngineStream::HttpEngineStream(
    HttpClient& client, Address engine, std::unique_ptr<HttpStream> stream, std::uint64_t nextOffset)
    : m_client(client)
    , m_engine(std::move(engine))
    , m_stream(std::move(stream))
    , m_nextOffset(nextOffset)
{
}

asio::awaitable<Result<StreamEvent>> HttpEngineStream::next()
{
    if (m_failure)
        co_return *m_failure;
    if (m_isEnded)
        co_return StreamEvent { .isEnd = true };
    auto event = co_await readEvent();
    Result<StreamEvent> out = event ? toStreamEvent(std::move(*event)) : Result<StreamEvent>(event.error());
    if (!out) {
        closeIdleAfterTimeout(m_client, m_engine, out.error());
        m_failure = out.error();
        m_stream->close();
    } else if (out->isEnd) {
        m_isEnded = true;
        asio::co_spawn(co_await asio::this_coro::executor, readBodyEnd(std::move(m_stream)), asio::detached);
    }
    co_return out;
}

void HttpEngineStream::close()
{
    if (m_stream)
        m_stream->close();
}

asio::awaitable<Result<SseEvent>> HttpEngineStream::readEvent()
{
    for (;;) {
        auto event = m_parser.next();
        if (!event)
            co_return event.error();
        if (*event)
            co_return std::move(**event);
        auto part = co_await m_stream->read();
        if (!part)
            co_return part.error();
        if (!*part)
            co_return streamFailure(Errc::ConnectionClosed, "the event stream ended without its end marker");
        m_parser.feed(**part);
    }
}

Result<StreamEvent> HttpEngineStream::toStreamEvent(SseEvent event)
{
    // The data of an error event is not copied into the failure: details are logged, and the data may quote the prompt.
    if (event.event == "error")
        return streamFailure(Errc::Unavailable, "the engine reported an error in the stream");
    if (!event.event.empty() && event.event != "message")
        return streamFailure(Errc::Malformed, "the event stream has an event of unknown type");
    const bool isEnd = event.data == endMarker;
    if (event.id || !isEnd) {
        const auto offset = event.id ? parseOffset(*event.id) : std::nullopt;
        if (!offset)
            return streamFailure(Errc::Malformed, "an event has no valid offset in its id field");
        if (*offset != m_nextOffset)
            return streamFailure(Errc::Malformed,
                "expected offset " + std::to_string(m_nextOffset) + ", got " + std::to_string(*offset));
    }
    if (isEnd)
        return StreamEvent { .isEnd = true };
    if (!event.data.starts_with('{') || !nlohmann::json::accept(event.data))
        return streamFailure(Errc::Malformed, "the data of an event is not a JSON object");
    StreamEvent out;
    out.offset = m_nextOffset++;
    out.data = std::move(event.data);
    return out;
}

} // namespace bulrushstack::detail
