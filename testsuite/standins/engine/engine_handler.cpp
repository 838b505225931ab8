#include "engine_handler.h"

#include "fault_response.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <stdexcept>
#include <unistd.h>

namespace bulrushstack::standins {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr std::string_view streamPath = "/v1/streams/";

std::string eventText(const Completion& completion, std::size_t offset)
{
    return "id: " + std::to_string(offset) + "\ndata: " + completion.eventData(offset) + "\n\n";
}

/// Registers a client connection with a completion for the lifetime of the guard.
class AttachedClientGuard {
public:
    AttachedClientGuard(CompletionPtr completion, AttachedClient& client)
        : m_completion(std::move(completion))
        , m_attachedClient(client)
    {
        m_completion->attachedClients.insert(&m_attachedClient);
    }

    ~AttachedClientGuard() { m_completion->attachedClients.erase(&m_attachedClient); }

    AttachedClientGuard(const AttachedClientGuard&) = delete;
    AttachedClientGuard& operator=(const AttachedClientGuard&) = delete;

private:
    CompletionPtr m_completion;
    AttachedClient& m_attachedClient;
};

bool isCompletion(const HttpRequest& request)
{
    return request.method == "POST"
        && (request.path() == "/v1/completions" || request.path() == "/v1/chat/completions");
}

/// Returns the token offset at which the stream resumes: 0 without a Last-Event-ID header; empty if the header is
/// malformed.
std::optional<std::size_t> resumeOffset(const HttpRequest& request)
{
    const auto last = request.headers.find("Last-Event-ID");
    if (!last)
        return 0;
    std::size_t value = 0;
    const auto* end = last->data() + last->size();
    const auto [rest, ec] = std::from_chars(last->data(), end, value);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return value + 1;
}

HttpResponse error(unsigned status, const std::string& text, bool isNotStarted = false)
{
    auto out = jsonResponse(status, json({ { "error", text } }).dump());
    if (isNotStarted)
        out.headers.set("X-Not-Started", "1");
    return out;
}

} // namespace

EngineHandler::EngineHandler(asio::io_context& context, EngineOptions options, StandinState& state)
    : m_context(context)
    , m_options(std::move(options))
    , m_state(state)
    , m_cache(m_options.cache)
    , m_residency(context, m_options.residency, state)
    , m_batch(context, m_options.batch, state, m_residency, m_cache)
    , m_history(m_options.reportLag)
{
    if (!m_residency.addInitialModels(m_options.initialModels))
        throw std::invalid_argument("setting model: an entry is not id:version:bytes, or the models exceed the memory");
    m_residency.onChange = [this] { recordLoadReport(); };
    m_residency.onUnloaded = [this](const std::string& model) { m_cache.removeModel(model); };
    m_batch.onChange = [this] { recordLoadReport(); };
    recordLoadReport();
}

asio::awaitable<void> EngineHandler::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = request.path();
    if (isCompletion(request)) {
        co_await handleCompletion(exchange);
    } else if (path.starts_with(streamPath) && request.method == "GET") {
        co_await resume(exchange);
    } else if (path.starts_with(streamPath) && request.method == "DELETE") {
        auto response = cancel(request);
        co_await respondWithFault(exchange, std::nullopt, std::move(response));
    } else {
        const bool isOrder = path == "/orders";
        const bool isReport = path == "/load" || path == "/cache/events";
        std::string point = isOrder ? "order" : isReport ? "report" : "";
        std::string subject(isOrder ? std::string_view(request.body) : path);
        const auto action = co_await applyFaultAt(std::move(point), std::move(subject));
        HttpResponse response;
        if (isRequestExecuted(action))
            response = handleControlRequest(request);
        co_await respondWithFault(exchange, action, std::move(response));
    }
}

asio::awaitable<void> EngineHandler::handleCompletion(HttpExchange& exchange)
{
    auto request = parseCompletionRequest(exchange.request());
    if (!request) {
        auto response = error(400, "malformed request");
        co_await respondWithFault(exchange, std::nullopt, std::move(response));
        co_return;
    }
    std::string subject = request->attempt + " " + request->model;
    const auto action = co_await applyFaultAt("accept", std::move(subject));
    std::string version;
    auto refused = notReadyResponse(*request, &version);
    if (refused || (action && action != FaultAction::LoseAnswer)) {
        auto response = refused.value_or(error(500, "interrupted"));
        co_await respondWithFault(exchange, action, std::move(response));
        co_return;
    }
    if (!m_options.fatalText.empty() && request->prompt.find(m_options.fatalText) != std::string::npos)
        ::_exit(3);
    removeExpiredCompletions();
    const bool isStream = request->isStream;
    auto completion = m_batch.submit(std::move(*request), std::move(version));
    m_completions[completion->request.attempt] = completion;
    if (action == FaultAction::LoseAnswer) {
        exchange.close();
        co_return;
    }
    AttachedClient client(m_context);
    const AttachedClientGuard guard(completion, client);
    if (isStream)
        co_await sendCompletionStream(exchange, completion, client);
    else
        co_await sendCompletion(exchange, completion, client);
}

asio::awaitable<void> EngineHandler::sendCompletion(
    HttpExchange& exchange, CompletionPtr completion, AttachedClient& client)
{
    while (!completion->isFinished() && client.faultAfterTokens == SIZE_MAX) {
        co_await waitForChange(client);
        if (exchange.isClientGone()) {
            exchange.close();
            co_return;
        }
    }
    const bool isStopped = client.faultAfterTokens != SIZE_MAX;
    std::optional<FaultAction> action = client.action;
    if (!isStopped) {
        std::string subject = completion->request.attempt + " " + completion->request.model;
        action = co_await applyFaultAt("answer", std::move(subject));
    }
    HttpResponse response = error(500, "the request was cancelled");
    if (completion->state == CompletionState::Ended || isStopped)
        response = jsonResponse(200, completion->responseBody());
    if (action == FaultAction::Refuse) {
        // The request was executed, so the error response must not carry X-Not-Started unless execution never began.
        action = std::nullopt;
        response = cancelledResponse(*completion);
    }
    response.headers.set("X-Request-Id", responseRequestId(*completion));
    response.headers.set("X-Cached-Tokens", std::to_string(completion->cachedTokens));
    co_await respondWithFault(exchange, action, std::move(response));
}

asio::awaitable<void> EngineHandler::sendCompletionStream(
    HttpExchange& exchange, CompletionPtr completion, AttachedClient& client)
{
    std::string subject = completion->request.attempt + " " + completion->request.model;
    const auto action = co_await applyFaultAt("answer", std::move(subject));
    if (!action) {
        co_await writeStream(exchange, completion, client, 0);
        co_return;
    }
    while (action == FaultAction::LoseAnswer && !completion->isFinished())
        co_await waitForChange(client);
    HttpResponse response;
    auto effect = action;
    if (action == FaultAction::Refuse) {
        m_batch.cancel(completion);
        effect = std::nullopt;
        response = cancelledResponse(*completion);
    } else if (action == FaultAction::Cut) {
        const auto event = eventText(*completion, 0);
        response.headers.set("Content-Type", "text/event-stream");
        response.body = event;
    }
    response.headers.set("X-Request-Id", responseRequestId(*completion));
    co_await respondWithFault(exchange, effect, std::move(response));
}

asio::awaitable<void> EngineHandler::writeStream(
    HttpExchange& exchange, CompletionPtr completion, AttachedClient& client, std::size_t offset)
{
    HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } };
    headers.set("X-Request-Id", responseRequestId(*completion));
    auto ec = co_await exchange.beginStream(200, std::move(headers));
    while (!ec) {
        if (!co_await writeEvents(exchange, *completion, client, offset))
            break;
        if (offset >= client.faultAfterTokens) {
            co_await stopStream(exchange, *completion, client.action, offset);
            break;
        }
        if (completion->isFinished()) {
            const bool isComplete = completion->state == CompletionState::Ended;
            ec = co_await exchange.write(isComplete ? "data: [DONE]\n\n" : "event: error\ndata: {}\n\n");
            if (!ec)
                co_await exchange.endStream();
            co_return;
        }
        if (!co_await waitForChange(client))
            ec = co_await exchange.write(": keep-alive\n\n");
    }
    exchange.close();
}

/// Writes events for the tokens generated so far. Returns false if the client has closed the connection.
asio::awaitable<bool> EngineHandler::writeEvents(
    HttpExchange& exchange, const Completion& completion, const AttachedClient& client, std::size_t& offset)
{
    while (offset < std::min(completion.tokens, client.faultAfterTokens)) {
        const auto text = eventText(completion, offset);
        if (co_await exchange.write(text))
            co_return false;
        ++offset;
    }
    co_return true;
}

asio::awaitable<void> EngineHandler::stopStream(
    HttpExchange& exchange, const Completion& completion, FaultAction action, std::size_t offset)
{
    if (action == FaultAction::Mute) {
        co_await waitForClientClose(exchange);
    } else if (action == FaultAction::Cut) {
        const auto text = eventText(completion, offset);
        co_await exchange.write(std::string_view(text).substr(0, text.size() / 2));
    }
}

asio::awaitable<void> EngineHandler::resume(HttpExchange& exchange)
{
    auto completion = findCompletion(exchange.request());
    const auto offset = resumeOffset(exchange.request());
    if (!completion || !offset || *offset > completion->request.maxTokens) {
        auto response = completion ? error(400, "malformed Last-Event-ID") : error(404, "unknown stream");
        co_await respondWithFault(exchange, std::nullopt, std::move(response));
        co_return;
    }
    AttachedClient client(m_context);
    const AttachedClientGuard guard(completion, client);
    co_await writeStream(exchange, completion, client, *offset);
}

/// Waits for a change of the completion. Returns false if the keep-alive interval has passed without one.
asio::awaitable<bool> EngineHandler::waitForChange(AttachedClient& client)
{
    client.timer.expires_after(m_options.keepAlive);
    auto [ec] = co_await client.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return static_cast<bool>(ec);
}

asio::awaitable<std::optional<FaultAction>> EngineHandler::applyFaultAt(std::string point, std::string subject)
{
    auto fault = m_state.consumeFault(point, subject);
    co_return co_await applyDelayOrCrash(std::move(fault));
}

std::optional<HttpResponse> EngineHandler::notReadyResponse(
    const CompletionRequest& request, std::string* version) const
{
    const auto state = m_residency.findState(request.model, version);
    if (state == Residency::State::Ready)
        return std::nullopt;
    return state == Residency::State::Loading ? error(503, "the model is loading", true)
                                              : error(404, "the model is not resident", true);
}

HttpResponse EngineHandler::cancelledResponse(const Completion& completion) const
{
    return completion.wasStarted ? error(503, "interrupted") : notStartedResponse();
}

HttpResponse EngineHandler::cancel(const HttpRequest& request)
{
    auto completion = findCompletion(request);
    if (!completion)
        return error(404, "unknown stream");
    m_batch.cancel(completion);
    HttpResponse out;
    out.status = 204;
    return out;
}

HttpResponse EngineHandler::handleControlRequest(const HttpRequest& request)
{
    const auto path = request.path();
    if (path == "/load" && request.method == "GET")
        return jsonResponse(200, m_history.delayedReport());
    if (path == "/cache/events" && request.method == "GET") {
        const auto after = queryParameter(request.query(), "after").value_or("0");
        std::uint64_t sequence = 0;
        std::from_chars(after.data(), after.data() + after.size(), sequence);
        return jsonResponse(200, m_cache.eventsAfter(sequence, std::chrono::steady_clock::now()).dump());
    }
    if (path == "/orders" && request.method == "POST")
        return m_residency.order(request);
    if ((path == "/kv/export" || path == "/kv/import") && request.method == "POST")
        return transferCache(request);
    return error(404, "not found");
}

HttpResponse EngineHandler::transferCache(const HttpRequest& request)
{
    const auto document = json::parse(request.body, nullptr, false);
    for (const auto* it : { "model", "prefix", "salt" }) {
        if (!document.is_object() || !document.value(it, json()).is_string())
            return error(400, "malformed request");
    }
    const std::string salt = document.at("salt");
    const std::string model = document.at("model");
    const std::string prefix = document.at("prefix");
    if (request.path() == "/kv/export") {
        const auto blocks = m_cache.findChain(salt, model, prefix);
        if (blocks.empty())
            return error(404, "the prefix is not held");
        auto out = document;
        out["blocks"] = blocks;
        return jsonResponse(200, out.dump());
    }
    std::vector<std::string> blocks;
    for (const auto& it : document.value("blocks", json::array({ prefix }))) {
        if (!it.is_string())
            return error(400, "malformed request");
        blocks.push_back(it);
    }
    m_cache.insert(salt, model, blocks);
    return jsonResponse(200, "{}");
}

CompletionPtr EngineHandler::findCompletion(const HttpRequest& request) const
{
    const auto attempt = percentDecode(request.path().substr(streamPath.size()));
    const auto it = attempt ? m_completions.find(*attempt) : m_completions.end();
    if (it == m_completions.end() || it->second->request.salt != request.headers.find("X-Cache-Salt").value_or(""))
        return nullptr;
    return it->second;
}

std::string EngineHandler::responseRequestId(const Completion& completion)
{
    const auto fault = m_state.consumeFault("answer-id", completion.request.attempt + " " + completion.request.model);
    const bool isWrong = fault && fault->action == FaultAction::Refuse;
    return isWrong ? "wrong-" + completion.request.attempt : completion.request.attempt;
}

void EngineHandler::removeExpiredCompletions()
{
    const auto limit = std::chrono::steady_clock::now() - m_options.streamRetention;
    std::erase_if(m_completions, [&](const auto& it) { return it.second->isFinished() && it.second->endedAt < limit; });
}

void EngineHandler::recordLoadReport()
{
    auto report = m_residency.report();
    report["incarnation"] = m_options.incarnation;
    report["queued"] = m_batch.queued();
    report["running"] = m_batch.running();
    report["tokens_per_second"] = m_options.batch.tokensPerSecond;
    m_history.add(report.dump());
}

} // namespace bulrushstack::standins
