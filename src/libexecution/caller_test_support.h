#pragma once

#include "bulrushstack/execution/admission.h"
#include "bulrushstack/kernel/ids.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace bulrushstack {

/// An io_context with a manual clock: when no handler is ready, the clock advances to the next timer.
class VirtualTime {
public:
    TimerFactory timerFactory()
    {
        return [this] { return std::make_shared<VirtualTimer>(*this); };
    }

    /// Runs until the awaitable completes and returns its result. Throws if it waits although no timer is pending.
    template <typename T> T run(boost::asio::awaitable<T> work)
    {
        std::optional<T> value;
        boost::asio::co_spawn(context, std::move(work), [&](std::exception_ptr error, T result) {
            if (error)
                std::rethrow_exception(error);
            value.emplace(std::move(result));
        });
        while (!value)
            step();
        return std::move(*value);
    }

    /// Runs until no timer is pending.
    void runUntilIdle()
    {
        do {
            poll();
        } while (advanceToNextTimer());
    }

    boost::asio::io_context context;
    ManualClock clock;

private:
    class VirtualTimer final : public WakeableTimer {
    public:
        explicit VirtualTimer(VirtualTime& time)
            : m_time(time)
            , m_timer(time.context, SteadyTime::max())
        {
        }

        ~VirtualTimer() override { m_time.m_waitingTimers.erase(this); }

        boost::asio::awaitable<void> waitUntil(SteadyTime time) override
        {
            if (!std::exchange(m_isWoken, false)) {
                m_time.m_waitingTimers[this] = time;
                co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
                m_time.m_waitingTimers.erase(this);
                m_isWoken = false;
            }
        }

        void wake() override
        {
            m_isWoken = true;
            m_timer.cancel();
        }

    private:
        VirtualTime& m_time;
        boost::asio::steady_timer m_timer;
        bool m_isWoken = false;
    };

    void poll()
    {
        context.restart();
        context.poll();
    }

    bool advanceToNextTimer()
    {
        auto next = std::min_element(m_waitingTimers.begin(), m_waitingTimers.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        if (next == m_waitingTimers.end())
            return false;
        clock.advance(std::max(next->second - clock.now(), SteadyTime::duration(0)));
        next->first->wake();
        m_waitingTimers.erase(next);
        return true;
    }

    void step()
    {
        context.restart();
        if (context.poll() == 0 && !advanceToNextTimer())
            throw std::runtime_error("the awaitable has not completed and no timer is pending");
    }

    std::map<WakeableTimer*, SteadyTime> m_waitingTimers;
};

/// Behaviour of one connection to the scripted engine.
struct EngineFault {
    enum Kind {
        None,
        Unreachable, ///< the connection cannot be opened, so the request is not sent
        NotStarted, ///< the engine refuses with the statement that the request has not started
        Disconnect, ///< the connection closes after `afterEvents` events, or before the non-streaming response
        Stall, ///< no data after `afterEvents` events, until the progress timeout
        OpenResponseLost, ///< the request arrives, but the response header is lost
        Status500, ///< the non-streaming response has status 500
        EarlyEnd, ///< the end marker is sent after `afterEvents` events
        InvalidRequest, ///< the engine rejects a streaming request as invalid
        ModelNotFound, ///< the engine responds to a streaming request with status 404
        WrongOffset, ///< an offset is repeated after `afterEvents` events
    };

    Kind kind = None;
    std::size_t afterEvents = 0; ///< events of the connection before the fault
    bool losesAttempt = false; ///< after the fault the engine does not know the attempt when it is resumed
    bool hasDifferentContent = false; ///< a new attempt produces different content from the first one
};

/// Model engine whose connections follow a script of faults. When the script is used up, `defaultFault` applies.
class ScriptedEngine final : public EngineClient {
public:
    explicit ScriptedEngine(VirtualTime& time)
        : m_time(time)
    {
    }

    std::deque<EngineFault> script; ///< one entry per connection
    EngineFault defaultFault; ///< behaviour when the script is used up
    std::size_t eventCount = 4; ///< number of events of a stream
    bool isDeterministic = true; ///< all attempts produce the same content
    std::chrono::nanoseconds eventDelay {}; ///< delay before each event and non-streaming response

    std::vector<EngineRequest> requests; ///< all requests, including unreachable and refused ones
    std::vector<Address> addresses; ///< addresses of `requests`
    std::vector<std::optional<std::uint64_t>> resumes; ///< last received offset of each resume
    std::map<std::string, int> variants; ///< attempts that started, with the number of the content that they produce
    std::set<std::string> finished; ///< attempts that ended
    std::set<std::string> cancelled; ///< attempts for which a cancellation was received
    /// Non-streaming response.
    HttpResponse response = jsonResponse(200, R"({"choices":[]})");

    static std::string eventText(int variant, std::size_t offset)
    {
        return R"({"v":)" + std::to_string(variant) + "}" + std::string(offset % 3, '\n') + std::to_string(offset);
    }

    boost::asio::awaitable<Result<HttpResponse>> complete(
        Address engine, EngineRequest request, AttemptLimits limits) override
    {
        const auto fault = nextFault();
        const auto id = request.attemptId;
        if (auto failure = receive(std::move(engine), std::move(request), fault))
            co_return *failure;
        if (fault.kind == EngineFault::Stall) {
            co_await sleepUntil(std::min(m_time.clock.now() + limits.progressTimeout, limits.deadline));
            co_return scriptedFailure(Errc::Timeout);
        }
        if (fault.kind == EngineFault::Disconnect || fault.kind == EngineFault::OpenResponseLost)
            co_return scriptedFailure(Errc::ConnectionClosed);
        co_await sleepUntil(std::min(m_time.clock.now() + eventDelay, limits.deadline));
        if (m_time.clock.now() >= limits.deadline)
            co_return scriptedFailure(Errc::Timeout);
        finished.insert(id);
        co_return fault.kind == EngineFault::Status500 ? jsonResponse(500, "{}") : response;
    }

    boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> openStream(
        Address engine, EngineRequest request, AttemptLimits limits) override
    {
        const auto fault = nextFault();
        const auto id = request.attemptId;
        if (auto failure = receive(std::move(engine), std::move(request), fault))
            co_return *failure;
        if (fault.kind == EngineFault::OpenResponseLost)
            co_return scriptedFailure(Errc::ConnectionClosed);
        if (fault.kind == EngineFault::InvalidRequest || fault.kind == EngineFault::ModelNotFound)
            co_return scriptedFailure(
                fault.kind == EngineFault::InvalidRequest ? Errc::InvalidArgument : Errc::NotFound);
        co_return std::unique_ptr<EngineStream>(std::make_unique<Stream>(*this, id, 0, fault, limits));
    }

    boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> resumeStream(
        Address, std::string id, std::string, std::optional<std::uint64_t> last, AttemptLimits limits) override
    {
        const auto fault = nextFault();
        resumes.push_back(last);
        if (fault.kind == EngineFault::Unreachable)
            co_return Failure { .code = Errc::ConnectionClosed, .verdict = Verdict::NotRun, .detail = {} };
        if (fault.kind == EngineFault::OpenResponseLost)
            co_return scriptedFailure(Errc::ConnectionClosed);
        if (m_forgotten.contains(id) || !variants.contains(id))
            co_return Failure { .code = Errc::NotFound, .verdict = Verdict::MayHaveRun, .detail = {} };
        co_return std::unique_ptr<EngineStream>(
            std::make_unique<Stream>(*this, id, last ? *last + 1 : 0, fault, limits));
    }

    boost::asio::awaitable<Result<void>> cancel(Address, std::string attemptId, std::string, SteadyTime) override
    {
        cancelled.insert(attemptId);
        co_return Result<void>();
    }

    boost::asio::awaitable<Result<LoadReport>> loadReport(Address, SteadyTime) override { co_return LoadReport(); }
    boost::asio::awaitable<Result<void>> order(Address, EngineOrder, SteadyTime) override { co_return Result<void>(); }

private:
    class Stream final : public EngineStream {
    public:
        Stream(
            ScriptedEngine& engine, std::string id, std::uint64_t firstOffset, EngineFault fault, AttemptLimits limits)
            : m_engine(engine)
            , m_id(std::move(id))
            , m_nextOffset(firstOffset)
            , m_fault(fault)
            , m_limits(limits)
        {
        }

        boost::asio::awaitable<Result<StreamEvent>> next() override
        {
            auto& clock = m_engine.m_time.clock;
            const bool isFaultActive = m_eventsSent++ >= m_fault.afterEvents;
            if (isFaultActive && m_fault.losesAttempt)
                m_engine.m_forgotten.insert(m_id);
            if (isFaultActive && m_fault.kind == EngineFault::Disconnect)
                co_return scriptedFailure(Errc::ConnectionClosed);
            if (isFaultActive && m_fault.kind == EngineFault::Stall) {
                co_await m_engine.sleepUntil(std::min(clock.now() + m_limits.progressTimeout, m_limits.deadline));
                co_return scriptedFailure(Errc::Timeout);
            }
            co_await m_engine.sleepUntil(std::min(clock.now() + m_engine.eventDelay, m_limits.deadline));
            if (clock.now() >= m_limits.deadline)
                co_return scriptedFailure(Errc::Timeout);
            StreamEvent event;
            if (m_nextOffset == m_engine.eventCount || (isFaultActive && m_fault.kind == EngineFault::EarlyEnd)) {
                m_engine.finished.insert(m_id);
                event.isEnd = true;
                co_return event;
            }
            event.offset = isFaultActive && m_fault.kind == EngineFault::WrongOffset && m_nextOffset > 0
                ? m_nextOffset - 1
                : m_nextOffset;
            event.data = eventText(m_engine.variants[m_id], m_nextOffset++);
            co_return event;
        }

        void close() override { }

    private:
        ScriptedEngine& m_engine;
        std::string m_id;
        std::uint64_t m_nextOffset;
        EngineFault m_fault;
        AttemptLimits m_limits;
        std::size_t m_eventsSent = 0;
    };

    static Failure scriptedFailure(Errc code)
    {
        return { .code = code, .verdict = Verdict::MayHaveRun, .detail = "scripted" };
    }

    EngineFault nextFault()
    {
        if (script.empty())
            return defaultFault;
        auto fault = script.front();
        script.pop_front();
        return fault;
    }

    std::optional<Failure> receive(Address engine, EngineRequest request, EngineFault fault)
    {
        requests.push_back(request);
        addresses.push_back(std::move(engine));
        if (fault.kind == EngineFault::Unreachable)
            return Failure { .code = Errc::ConnectionClosed, .verdict = Verdict::NotRun, .detail = {} };
        if (fault.kind == EngineFault::NotStarted)
            return Failure { .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = {} };
        const bool isSame = variants.empty() || (isDeterministic && !fault.hasDifferentContent);
        variants[request.attemptId] = isSame ? 0 : static_cast<int>(variants.size());
        return std::nullopt;
    }

    boost::asio::awaitable<void> sleepUntil(SteadyTime time)
    {
        const auto timer = m_time.timerFactory()();
        if (m_time.clock.now() < time)
            co_await timer->waitUntil(time);
    }

    VirtualTime& m_time;
    std::set<std::string> m_forgotten;
};

/// An exchange that records the response to the caller.
class RecordingExchange final : public HttpExchange {
public:
    explicit RecordingExchange(HttpRequest request = {})
        : m_request(std::move(request))
    {
    }

    HttpResponse response; ///< for a stream, everything written to it is in the body
    bool isStream = false;
    bool isEnded = false;
    std::size_t writes = 0;
    std::optional<std::size_t> disconnectAfterWrites; ///< the caller disconnects after this number of writes

    const HttpRequest& request() const override { return m_request; }
    bool isStarted() const override { return isStream || isEnded; }
    bool isClientGone() override { return disconnectAfterWrites && writes >= *disconnectAfterWrites; }

    boost::asio::awaitable<std::error_code> respond(HttpResponse answer) override
    {
        response = std::move(answer);
        isEnded = true;
        co_return std::error_code();
    }

    boost::asio::awaitable<std::error_code> beginStream(unsigned status, HttpHeaders headers) override
    {
        response.status = status;
        response.headers = std::move(headers);
        isStream = true;
        co_return std::error_code();
    }

    boost::asio::awaitable<std::error_code> write(std::string_view data) override
    {
        if (isClientGone())
            co_return std::make_error_code(std::errc::broken_pipe);
        ++writes;
        response.body += data;
        co_return std::error_code();
    }

    boost::asio::awaitable<std::error_code> endStream() override
    {
        isEnded = true;
        co_return std::error_code();
    }

private:
    HttpRequest m_request;
};

/// Returns a configuration with two teams, each with a model that the other team may not use.
inline ConfigurationPtr testConfiguration()
{
    auto templateWith = [](const char* model) {
        return nlohmann::json { { "parameters", nlohmann::json::object() }, { "models", { "shared", model } },
            { "services", { "cue-board" } },
            { "urgency", { { "default", "interactive" }, { "permitted", { "live", "interactive" } } } },
            { "deadline", { { "default", "10s" }, { "max", "60s" } } }, { "never_repeat", nlohmann::json::array() },
            { "repeatable", nlohmann::json::array() }, { "share", 1U } };
    };
    auto modelOf = [] { return nlohmann::json { { "kind", "model" }, { "version", "1" }, { "size", "1GiB" } }; };
    auto teamOf = [](const char* name, const char* token) {
        return nlohmann::json { { "template", name }, { "parameters", nlohmann::json::object() },
            { "token_sha256", { sha256Hex(token) } } };
    };
    const nlohmann::json document { { "schema", 1U }, { "revision", 1U },
        { "models", { { "shared", modelOf() }, { "own", modelOf() }, { "foreign", modelOf() } } },
        { "services",
            { { "cue-board", { { "checks_fencing", false } } }, { "orders", { { "checks_fencing", false } } } } },
        { "templates", { { "a", templateWith("own") }, { "b", templateWith("foreign") } } },
        { "teams", { { "zagreb", teamOf("a", "token-a") }, { "split", teamOf("b", "token-b") } } } };
    auto outcome = Configuration::parse(document);
    if (!outcome.configuration)
        throw std::runtime_error("the test configuration is not valid at " + outcome.errors.front().path + ": "
            + outcome.errors.front().permitted);
    return outcome.configuration;
}

} // namespace bulrushstack
