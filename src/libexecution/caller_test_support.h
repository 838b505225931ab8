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

/// An io_context under a manual clock: whenever nothing can run, the clock moves to the next alarm.
class VirtualTime {
public:
    AlarmFactory alarms()
    {
        return [this] { return std::make_shared<VirtualAlarm>(*this); };
    }

    /// Runs until the awaitable completes. Throws if it waits for something that no alarm brings about.
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

    /// Runs until no alarm is set.
    void settle()
    {
        do {
            poll();
        } while (advance());
    }

    boost::asio::io_context context;
    ManualClock clock;

private:
    class VirtualAlarm final : public Alarm {
    public:
        explicit VirtualAlarm(VirtualTime& time)
            : m_time(time)
            , m_timer(time.context, SteadyTime::max())
        {
        }

        ~VirtualAlarm() override { m_time.m_waiting.erase(this); }

        boost::asio::awaitable<void> waitUntil(SteadyTime time) override
        {
            if (!std::exchange(m_isWoken, false)) {
                m_time.m_waiting[this] = time;
                co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
                m_time.m_waiting.erase(this);
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

    bool advance()
    {
        auto next = std::min_element(
            m_waiting.begin(), m_waiting.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        if (next == m_waiting.end())
            return false;
        clock.advance(std::max(next->second - clock.now(), SteadyTime::duration(0)));
        next->first->wake();
        m_waiting.erase(next);
        return true;
    }

    void step()
    {
        context.restart();
        if (context.poll() == 0 && !advance())
            throw std::runtime_error("the awaitable waits for ever");
    }

    std::map<Alarm*, SteadyTime> m_waiting;
};

/// What one connection of the scripted engine does.
struct EngineFault {
    enum Kind {
        None,
        Unreachable, ///< no byte is sent
        NotStarted, ///< the documented refusal
        Cut, ///< the connection closes after `after` events, or before the whole answer
        Silent, ///< nothing comes after `after` events until the progress timeout
        LostOpen, ///< the request arrives, its acceptance is lost
        Status500, ///< of a whole answer
        EarlyEnd, ///< the end marker comes after `after` events
        Invalid, ///< the engine refuses a stream with a status of the caller's own error
        NoModel, ///< the engine answers a stream with status 404
        WrongOffset, ///< an offset is repeated after `after` events
    };

    Kind kind = None;
    std::size_t after = 0;
    bool isForgetting = false; ///< the engine no longer knows the attempt when it is resumed
    bool isDifferent = false; ///< a new attempt gives other content than the first one
};

/// Engine whose connections follow a script; without a script they work.
class ScriptedEngine final : public ModelEngine {
public:
    explicit ScriptedEngine(VirtualTime& time)
        : m_time(time)
    {
    }

    std::deque<EngineFault> script; ///< one entry for each connection
    EngineFault otherwise; ///< when the script is used up
    std::size_t length = 4; ///< events of a stream
    bool isDeterministic = true;
    std::chrono::nanoseconds pause {}; ///< before each event and whole answer

    std::vector<EngineRequest> requests; ///< as they came in, unreachable and refused ones included
    std::vector<Address> addresses; ///< where they went
    std::vector<std::optional<std::uint64_t>> resumes; ///< the last offsets
    std::map<std::string, int> variants; ///< attempts that started, with the variant of the answer
    std::set<std::string> finished;
    std::set<std::string> cancelled;
    HttpResponse answer = jsonResponse(200, R"({"choices":[]})");

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
        if (fault.kind == EngineFault::Silent) {
            co_await sleepUntil(std::min(m_time.clock.now() + limits.progressTimeout, limits.deadline));
            co_return broken(Errc::Timeout);
        }
        if (fault.kind == EngineFault::Cut || fault.kind == EngineFault::LostOpen)
            co_return broken(Errc::ConnectionClosed);
        co_await sleepUntil(std::min(m_time.clock.now() + pause, limits.deadline));
        if (m_time.clock.now() >= limits.deadline)
            co_return broken(Errc::Timeout);
        finished.insert(id);
        co_return fault.kind == EngineFault::Status500 ? jsonResponse(500, "{}") : answer;
    }

    boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> openStream(
        Address engine, EngineRequest request, AttemptLimits limits) override
    {
        const auto fault = nextFault();
        const auto id = request.attemptId;
        if (auto failure = receive(std::move(engine), std::move(request), fault))
            co_return *failure;
        if (fault.kind == EngineFault::LostOpen)
            co_return broken(Errc::ConnectionClosed);
        if (fault.kind == EngineFault::Invalid || fault.kind == EngineFault::NoModel)
            co_return broken(fault.kind == EngineFault::Invalid ? Errc::InvalidArgument : Errc::NotFound);
        co_return std::unique_ptr<EngineStream>(std::make_unique<Stream>(*this, id, 0, fault, limits));
    }

    boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> resumeStream(
        Address, std::string id, std::string, std::optional<std::uint64_t> last, AttemptLimits limits) override
    {
        const auto fault = nextFault();
        resumes.push_back(last);
        if (fault.kind == EngineFault::Unreachable)
            co_return Failure { .code = Errc::ConnectionClosed, .verdict = Verdict::NotRun, .detail = {} };
        if (fault.kind == EngineFault::LostOpen)
            co_return broken(Errc::ConnectionClosed);
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
        Stream(ScriptedEngine& engine, std::string id, std::uint64_t position, EngineFault fault, AttemptLimits limits)
            : m_engine(engine)
            , m_id(std::move(id))
            , m_position(position)
            , m_fault(fault)
            , m_limits(limits)
        {
        }

        boost::asio::awaitable<Result<StreamEvent>> next() override
        {
            auto& clock = m_engine.m_time.clock;
            const bool isStruck = m_sent++ >= m_fault.after;
            if (isStruck && m_fault.isForgetting)
                m_engine.m_forgotten.insert(m_id);
            if (isStruck && m_fault.kind == EngineFault::Cut)
                co_return broken(Errc::ConnectionClosed);
            if (isStruck && m_fault.kind == EngineFault::Silent) {
                co_await m_engine.sleepUntil(std::min(clock.now() + m_limits.progressTimeout, m_limits.deadline));
                co_return broken(Errc::Timeout);
            }
            co_await m_engine.sleepUntil(std::min(clock.now() + m_engine.pause, m_limits.deadline));
            if (clock.now() >= m_limits.deadline)
                co_return broken(Errc::Timeout);
            StreamEvent event;
            if (m_position == m_engine.length || (isStruck && m_fault.kind == EngineFault::EarlyEnd)) {
                m_engine.finished.insert(m_id);
                event.isEnd = true;
                co_return event;
            }
            event.offset
                = isStruck && m_fault.kind == EngineFault::WrongOffset && m_position > 0 ? m_position - 1 : m_position;
            event.data = eventText(m_engine.variants[m_id], m_position++);
            co_return event;
        }

        void close() override { }

    private:
        ScriptedEngine& m_engine;
        std::string m_id;
        std::uint64_t m_position;
        EngineFault m_fault;
        AttemptLimits m_limits;
        std::size_t m_sent = 0;
    };

    static Failure broken(Errc code) { return { .code = code, .verdict = Verdict::MayHaveRun, .detail = "scripted" }; }

    EngineFault nextFault()
    {
        if (script.empty())
            return otherwise;
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
        const bool isSame = variants.empty() || (isDeterministic && !fault.isDifferent);
        variants[request.attemptId] = isSame ? 0 : static_cast<int>(variants.size());
        return std::nullopt;
    }

    boost::asio::awaitable<void> sleepUntil(SteadyTime time)
    {
        const auto alarm = m_time.alarms()();
        if (m_time.clock.now() < time)
            co_await alarm->waitUntil(time);
    }

    VirtualTime& m_time;
    std::set<std::string> m_forgotten;
};

/// Records the answer to a caller.
class RecordedExchange final : public HttpExchange {
public:
    explicit RecordedExchange(HttpRequest request = {})
        : m_request(std::move(request))
    {
    }

    HttpResponse response; ///< the body of a stream is in `response.body`
    bool isStream = false;
    bool isEnded = false;
    std::size_t writes = 0;
    std::optional<std::size_t> goneAfter; ///< writes after which the caller closes the connection

    const HttpRequest& request() const override { return m_request; }
    bool isStarted() const override { return isStream || isEnded; }
    bool isClientGone() override { return goneAfter && writes >= *goneAfter; }

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

/// Two teams with a model each that the other may not use.
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
