#include "load_runner.h"

#include "bulrushstack/kernel/ids.h"
#include "request_builder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bulrushstack::load {

namespace asio = boost::asio;

namespace {

/// Scans a stream of server-sent events for its first data, an error event and the end marker.
class SseScanner {
public:
    void add(const std::string& part)
    {
        m_text += part;
        m_hasData = m_hasData || m_text.find("data:") != std::string::npos;
        m_hasError = m_hasError || m_text.find("event: error") != std::string::npos;
        m_isEnded = m_isEnded || m_text.find("data: [DONE]") != std::string::npos;
        // A marker may be split across two chunks, so the last maxMarkerLength bytes are kept.
        static constexpr std::size_t maxMarkerLength = 12;
        if (m_text.size() > maxMarkerLength)
            m_text.erase(0, m_text.size() - maxMarkerLength);
    }

    bool hasData() const { return m_hasData; }
    bool hasError() const { return m_hasError; }
    bool isEnded() const { return m_isEnded; }

private:
    std::string m_text;
    bool m_hasData = false;
    bool m_hasError = false;
    bool m_isEnded = false;
};

RequestOutcome toOutcome(const Failure& failure)
{
    RequestOutcome outcome;
    outcome.status = "failed: " + failure.code.message();
    outcome.verdict = toString(failure.verdict);
    return outcome;
}

RequestOutcome toOutcome(unsigned status, const HttpHeaders& headers)
{
    RequestOutcome outcome;
    outcome.status = std::to_string(status);
    outcome.verdict = headers.find("Bulrush-Verdict").value_or("unstated");
    outcome.isAnswered = status / 100 == 2;
    return outcome;
}

} // namespace

LoadRunner::LoadRunner(asio::io_context& context, const Clock& clock, const Experiment& experiment)
    : m_context(context)
    , m_clock(clock)
    , m_experiment(experiment)
    , m_client(context, clock)
    , m_summary(experiment)
    , m_runId(randomId())
{
}

asio::awaitable<void> LoadRunner::run(
    std::vector<PlannedRequest> planned, std::chrono::nanoseconds progressInterval, ProgressHandler progress)
{
    static constexpr std::chrono::milliseconds drainCheckInterval { 5 };
    m_start = m_clock.now();
    m_end = m_start;
    auto nextProgress = m_start + progressInterval;
    auto next = planned.begin();
    while (next != planned.end() || m_inFlight > 0) {
        const auto now = m_clock.now();
        if (now >= nextProgress) {
            progress(progressLine());
            nextProgress += progressInterval;
        }
        const auto due = next != planned.end() ? m_start + next->offset : now + drainCheckInterval;
        if (next == planned.end() || due > now) {
            co_await sleepUntil(std::min(due, nextProgress));
            continue;
        }
        if (m_inFlight >= m_experiment.inFlightLimit) {
            m_summary.addSkipped();
        } else {
            ++m_sent;
            ++m_inFlight;
            asio::co_spawn(m_context, send(*next), asio::detached);
        }
        ++next;
    }
    progress(progressLine());
}

asio::awaitable<void> LoadRunner::send(PlannedRequest planned)
{
    const auto intended = m_start + planned.offset;
    const auto sent = m_clock.now();
    HttpCallOptions options;
    options.deadline = sent + m_experiment.timeout;
    auto outcome = co_await execute(planned, options);
    m_end = m_clock.now();
    outcome.lateness = sent - intended;
    outcome.latency = m_end - intended;
    m_summary.add(planned, outcome);
    --m_inFlight;
}

asio::awaitable<RequestOutcome> LoadRunner::execute(PlannedRequest planned, HttpCallOptions options)
{
    const auto intended = m_start + planned.offset;
    const bool isStream = m_experiment.requests[planned.request].kind == RequestKind::Stream;
    auto request = buildRequest(m_experiment, planned, m_runId);
    const auto target = m_experiment.targets[planned.target];
    auto stream = co_await m_client.open(target, std::move(request), options);
    if (!stream)
        co_return toOutcome(stream.error());
    auto outcome = toOutcome((*stream)->status(), (*stream)->headers());
    SseScanner scanner;
    for (;;) {
        auto part = co_await (*stream)->read();
        if (!part)
            co_return toOutcome(part.error());
        if (!*part)
            break;
        if (!isStream)
            continue;
        scanner.add(**part);
        if (outcome.isAnswered && scanner.hasData() && !outcome.firstToken)
            outcome.firstToken = m_clock.now() - intended;
    }
    if (isStream && outcome.isAnswered && (scanner.hasError() || !scanner.isEnded())) {
        outcome.status += scanner.hasError() ? " with an error event" : " without an end";
        outcome.isAnswered = false;
    }
    co_return outcome;
}

asio::awaitable<void> LoadRunner::sleepUntil(SteadyTime time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string LoadRunner::progressLine() const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now() - m_start).count();
    const auto& total = m_summary.total();
    return "elapsed_s=" + std::to_string(seconds) + " sent=" + std::to_string(m_sent)
        + " ended=" + std::to_string(total.requests) + " answered=" + std::to_string(total.latency.count())
        + " in_flight=" + std::to_string(m_inFlight) + " skipped=" + std::to_string(m_summary.skipped());
}

} // namespace bulrushstack::load
