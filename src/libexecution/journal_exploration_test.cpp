// Randomized simulation of several instances that receive requests with the same idempotency key. Each message between
// an instance, the table service, another instance and the service is an event, and the simulation chooses the next one
// at random. It loses, delays and reorders messages, and pauses and crashes instances. A run is determined by its seed.
#include "service_calls_core.h"
#include "service_calls_test_support.h"

#include "memory_platform.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <glog/logging.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// A bug that is injected on purpose, to check that the simulation detects it.
enum class InjectedBug {
    None,
    DispatchAfterAbsentReadBack, ///< a claim without a response counts as written if the row does not exist
    ForgetRefusals, ///< a queried instance replies "refused" without recording the refusal
    IgnoreConditions, ///< the table service writes without checking the conditions
};

struct Faults {
    bool hasMessageFaults = true;
    bool hasCrashes = true;
    InjectedBug injectedBug = InjectedBug::None;
};

const Failure noResponse { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "no response" };
const Failure notSent { .code = Errc::Unavailable, .verdict = Verdict::NotRun, .detail = "not sent" };

// Timeouts are long, so that only the manual clock makes them expire and no system timer fires during a run.
constexpr std::chrono::seconds callTimeout { 3000 };

ServiceCallOptions nodeOptions()
{
    auto out = optionsWithoutWaits();
    out.storeTimeout = 100s;
    return out;
}

/// The result of a message exchange for which a coroutine is waiting.
template <typename T> struct Pending {
    explicit Pending(boost::asio::io_context& context)
        : changed(context)
    {
    }
    std::optional<Result<T>> value;
    AsyncCondition changed;
};

/// A request that was sent to the service.
struct ServiceDispatch {
    int node = 0;
    int step = 0;
    bool wasExecuted = false;
};

/// A request that a caller sent to an instance.
struct Send {
    int node = 0;
    int begin = 0;
    int end = 0;
    std::optional<ServiceOutcome> outcome;
    bool wasExecutedAtEnd = false;
};

class Simulation;

/// One process of an instance. After a crash it receives nothing, but messages that it has sent are still delivered.
class Node final : public TableService, public ServiceClient {
public:
    Node(Simulation& simulation, int index, std::string id, std::uint64_t incarnation);

    boost::asio::awaitable<Result<std::optional<Row>>> read(RowId id, SteadyTime) override;
    boost::asio::awaitable<Result<std::vector<Row>>> list(
        std::string, std::string, std::string, std::size_t, SteadyTime) override
    {
        co_return std::vector<Row>();
    }
    boost::asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime) override;
    boost::asio::awaitable<Result<HttpResponse>> call(Address, ServiceCall call, AttemptLimits) override;
    boost::asio::awaitable<Result<ServiceCallStatus>> status(
        Address, std::string, std::string key, SteadyTime) override;
    boost::asio::awaitable<Result<nlohmann::json>> query(std::string target, nlohmann::json request);

    Simulation& simulation;
    int index;
    std::string id;
    bool isAlive = true;
    int pausedUntil = 0;
    std::optional<Transaction> unansweredCommit; ///< the last commit, if it got no response
    RetryBudget retries { { .ratio = 1, .burst = 1000 } };
    ServiceCallExecutor executor;

private:
    static ServiceCallDependencies dependenciesOf(Node& node, std::uint64_t incarnation);
};

/// The instances, the table service and the events that are pending between them.
class Simulation {
public:
    Simulation(std::uint32_t seed, Faults faults)
        : faults(faults)
        , random(seed)
    {
        directory.updateInstanceList(serviceRoster());
        for (std::string id : { "a", "b", "c" })
            addNode(id, 1);
    }

    /// Returns a random number from 0 to `limit` - 1.
    int randomBelow(int limit) { return static_cast<int>(random() % static_cast<std::uint32_t>(limit)); }
    bool randomChance(int percent) { return randomBelow(100) < percent; }

    /// Adds an event that takes place in a later, random step. It is dropped if the process `node` has crashed by then,
    /// and delayed while that process is paused; -1 stands for none.
    void schedule(int node, std::function<void()> action, bool mayBeLate = true)
    {
        const int delay
            = mayBeLate && areFaultsEnabled && faults.hasMessageFaults && randomChance(15) ? randomBelow(60) : 0;
        m_pendingEvents.push_back({ .node = node, .earliestStep = step + delay, .action = std::move(action) });
    }

    /// Sends a message from a node and waits for the response. `target` is the process that handles the message; -1 if
    /// it is no process of an instance.
    template <typename T>
    boost::asio::awaitable<Result<T>> exchange(
        int node, int target, std::function<Result<T>()> handle, Failure lossFailure)
    {
        auto pending = std::make_shared<Pending<T>>(context);
        auto deliver = [this, node, pending](Result<T> value) {
            schedule(node, [pending, value]() {
                if (!pending->value)
                    pending->value = value;
                pending->changed.notify();
            });
        };
        const int roll = areFaultsEnabled && faults.hasMessageFaults ? randomBelow(100) : 99;
        if (roll < 5)
            deliver(Result<T>(notSent));
        else if (roll < 20)
            deliver(Result<T>(lossFailure));
        if (roll >= 12) {
            schedule(target, [handle, deliver, roll]() {
                auto value = handle();
                if (roll >= 20)
                    deliver(std::move(value));
            });
        }
        while (!pending->value)
            co_await pending->changed.wait(24h);
        co_return *pending->value;
    }

    /// Runs the simulation: 250 steps of requests and faults, then, without faults, until no event is pending. After
    /// that a caller sends the request once more.
    void run()
    {
        for (step = 0; step < 250; ++step)
            advance();
        areFaultsEnabled = false;
        for (auto& node : nodes)
            node->pausedUntil = 0;
        runToCompletion();
        send(lastAlive());
        runToCompletion();
    }

    /// Returns the guarantee that was violated, or an empty string.
    std::string violation() const
    {
        const auto executions = std::count_if(
            dispatches.begin(), dispatches.end(), [](const ServiceDispatch& it) { return it.wasExecuted; });
        if (executions > 1)
            return "the key was executed more than once";
        for (const auto& it : sends) {
            if (!it->outcome)
                continue;
            if (it->outcome->verdict == Verdict::Ran && !it->wasExecutedAtEnd)
                return "a response has the verdict ran although nothing was executed";
            if (it->outcome->verdict == Verdict::NotRun && executedDuring(*it))
                return "a response has the verdict not-run although its attempt was executed";
        }
        if (!sends.back()->outcome)
            return "the last request got no response";
        if (!hasCrashed && !hasLostServiceResponse && sends.back()->outcome->verdict != Verdict::Ran)
            return "the key stays blocked although its outcome is known";
        return {};
    }

    Faults faults;
    std::mt19937 random;
    ManualClock clock;
    MemoryTableService rows;
    InstanceDirectory directory { clock, {} };
    UpstreamSelector selector { directory, {} };
    boost::asio::io_context context; ///< destroyed before the objects that suspended coroutines refer to
    bool areFaultsEnabled = true;
    bool hasCrashed = false;
    bool hasLostServiceResponse = false; ///< a response of the service was lost
    int step = 0;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::shared_ptr<Send>> sends;
    std::vector<ServiceDispatch> dispatches;

private:
    struct Event {
        int node = -1;
        int earliestStep = 0;
        std::function<void()> action;
    };

    void addNode(const std::string& id, std::uint64_t incarnation)
    {
        nodes.push_back(std::make_unique<Node>(*this, static_cast<int>(nodes.size()), id, incarnation));
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    bool isReady(const Event& event) const
    {
        if (event.earliestStep > step)
            return false;
        return event.node < 0 || nodes[static_cast<std::size_t>(event.node)]->pausedUntil <= step;
    }

    void advance()
    {
        clock.advance(std::chrono::seconds(randomBelow(40)));
        const int choice = randomBelow(100);
        if (choice < 6 && sends.size() < 8)
            send(randomBelow(static_cast<int>(nodes.size())));
        else if (choice < 9)
            nodes[static_cast<std::size_t>(randomBelow(static_cast<int>(nodes.size())))]->pausedUntil
                = step + randomBelow(80);
        else if (choice < 10 && faults.hasCrashes && nodes.size() < 5)
            crash(randomBelow(static_cast<int>(nodes.size())));
        else
            runOneEvent();
    }

    bool runOneEvent()
    {
        std::vector<std::size_t> ready;
        for (std::size_t n = 0; n < m_pendingEvents.size(); ++n) {
            if (isReady(m_pendingEvents[n]))
                ready.push_back(n);
        }
        if (ready.empty())
            return false;
        const auto chosen = ready[static_cast<std::size_t>(randomBelow(static_cast<int>(ready.size())))];
        auto event = std::move(m_pendingEvents[chosen]);
        m_pendingEvents.erase(m_pendingEvents.begin() + static_cast<std::ptrdiff_t>(chosen));
        if (event.node < 0 || nodes[static_cast<std::size_t>(event.node)]->isAlive)
            event.action();
        poll();
        return true;
    }

    void runToCompletion()
    {
        // The steps suffice for every call to reach its deadline. If events are left, something does not terminate.
        for (int n = 0; n < 5000 && !m_pendingEvents.empty(); ++n, ++step) {
            clock.advance(2s);
            runOneEvent();
        }
    }

    void crash(int index)
    {
        auto& node = *nodes[static_cast<std::size_t>(index)];
        if (!node.isAlive)
            return;
        node.isAlive = false;
        hasCrashed = true;
        addNode(node.id, 2 + nodes.size());
    }

    int lastAlive() const
    {
        int out = 0;
        for (const auto& node : nodes)
            out = node->isAlive ? node->index : out;
        return out;
    }

    static boost::asio::awaitable<void> sendTask(Simulation& simulation, Node& node, std::shared_ptr<Send> send)
    {
        auto context = serviceCallContext(simulation.clock, callTimeout);
        auto request = serviceRequest("shop", "POST", "k1");
        send->outcome = co_await node.executor.execute(std::move(context), std::move(request));
        send->end = simulation.step;
        send->wasExecutedAtEnd = simulation.wasExecuted();
    }

    void send(int index)
    {
        auto& node = *nodes[static_cast<std::size_t>(index)];
        if (!node.isAlive)
            return;
        sends.push_back(std::make_shared<Send>(Send { .node = index, .begin = step }));
        boost::asio::co_spawn(context, sendTask(*this, node, sends.back()), boost::asio::detached);
        poll();
    }

    bool wasExecuted() const
    {
        return std::any_of(
            dispatches.begin(), dispatches.end(), [](const ServiceDispatch& it) { return it.wasExecuted; });
    }

    bool executedDuring(const Send& send) const
    {
        return std::any_of(dispatches.begin(), dispatches.end(), [&](const ServiceDispatch& it) {
            return it.wasExecuted && it.node == send.node && it.step >= send.begin && it.step <= send.end;
        });
    }

    std::vector<Event> m_pendingEvents;
};

ServiceCallDependencies Node::dependenciesOf(Node& node, std::uint64_t incarnation)
{
    auto query = [&node](std::string target, nlohmann::json request) {
        return node.query(std::move(target), std::move(request));
    };
    return { .context = node.simulation.context,
        .clock = node.simulation.clock,
        .identity = { .id = node.id, .zone = "quay-a", .incarnation = incarnation },
        .tables = node,
        .services = node,
        .selector = node.simulation.selector,
        .retries = node.retries,
        .queryPeer = query };
}

Node::Node(Simulation& simulation, int index, std::string id, std::uint64_t incarnation)
    : simulation(simulation)
    , index(index)
    , id(std::move(id))
    , executor(dependenciesOf(*this, incarnation), nodeOptions())
{
}

boost::asio::awaitable<Result<std::optional<Row>>> Node::read(RowId id, SteadyTime)
{
    auto handle = [this, id]() { return Result<std::optional<Row>>(simulation.rows.find(id)); };
    auto result = co_await simulation.exchange<std::optional<Row>>(index, -1, handle, noResponse);
    const bool isBugInjected = simulation.faults.injectedBug == InjectedBug::DispatchAfterAbsentReadBack;
    if (isBugInjected && unansweredCommit && result && !result->has_value()) {
        Row row { .id = id, .version = 1000000, .value = *unansweredCommit->writes.front().value };
        unansweredCommit.reset();
        co_return std::optional<Row>(std::move(row));
    }
    co_return result;
}

boost::asio::awaitable<Result<RowVersion>> Node::commit(Transaction transaction, SteadyTime)
{
    auto handle = [this, transaction]() -> Result<RowVersion> {
        auto checked = transaction;
        if (simulation.faults.injectedBug == InjectedBug::IgnoreConditions)
            checked.conditions.clear();
        const auto version = simulation.rows.apply(checked);
        if (!version)
            return Failure { .code = Errc::Conflict, .verdict = Verdict::NotRun, .detail = "conflict" };
        return *version;
    };
    auto result = co_await simulation.exchange<RowVersion>(index, -1, handle, noResponse);
    unansweredCommit.reset();
    if (!result && result.error().verdict == Verdict::MayHaveRun)
        unansweredCommit = std::move(transaction);
    co_return result;
}

boost::asio::awaitable<Result<HttpResponse>> Node::call(Address, ServiceCall, AttemptLimits)
{
    const auto number = simulation.dispatches.size();
    simulation.dispatches.push_back({ .node = index, .step = simulation.step });
    const bool isRefused
        = simulation.areFaultsEnabled && simulation.faults.hasMessageFaults && simulation.randomChance(15);
    auto handle = [this, number, isRefused]() -> Result<HttpResponse> {
        if (isRefused)
            return Failure { .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = "refused" };
        simulation.dispatches[number].wasExecuted = true;
        return HttpResponse { .status = 200, .body = "done" };
    };
    auto result = co_await simulation.exchange<HttpResponse>(index, -1, handle, noResponse);
    simulation.hasLostServiceResponse
        = simulation.hasLostServiceResponse || (!result && result.error().verdict == Verdict::MayHaveRun);
    co_return result;
}

boost::asio::awaitable<Result<ServiceCallStatus>> Node::status(Address, std::string, std::string, SteadyTime)
{
    auto handle = [this]() {
        const bool wasExecuted = std::any_of(simulation.dispatches.begin(), simulation.dispatches.end(),
            [](const ServiceDispatch& it) { return it.wasExecuted; });
        ServiceCallStatus out { .wasExecuted = wasExecuted };
        if (wasExecuted)
            out.response.body = "done";
        return Result<ServiceCallStatus>(std::move(out));
    };
    co_return co_await simulation.exchange<ServiceCallStatus>(index, -1, handle, noResponse);
}

boost::asio::awaitable<Result<nlohmann::json>> Node::query(std::string target, nlohmann::json request)
{
    Node* peer = nullptr;
    for (auto& node : simulation.nodes)
        peer = node->isAlive && node->id == target ? node.get() : peer;
    auto handle = [this, peer, request]() -> Result<nlohmann::json> {
        if (!peer->isAlive)
            return noResponse;
        if (simulation.faults.injectedBug == InjectedBug::ForgetRefusals)
            return nlohmann::json { { "state", "refused" } };
        return peer->executor.answerJournalQuery(request);
    };
    co_return co_await simulation.exchange<nlohmann::json>(index, peer->index, handle, noResponse);
}

constexpr int seedCount = 3000;

/// Runs `seeds` consecutive seeds. Returns the first one that violates a guarantee, with the violation; 0 if none does.
std::pair<std::uint32_t, std::string> findViolation(std::uint32_t firstTriedSeed, int seeds, Faults faults)
{
    for (std::uint32_t seed = firstTriedSeed; seed < firstTriedSeed + static_cast<std::uint32_t>(seeds); ++seed) {
        Simulation simulation(seed, faults);
        simulation.run();
        if (auto found = simulation.violation(); !found.empty())
            return { seed, std::move(found) };
    }
    return { 0, {} };
}

/// Returns the first seed to run: the value of the environment variable BULRUSH_TEST_SEED, or 1. Set it to the seed of
/// a failed run to repeat that run first.
std::uint32_t firstSeed()
{
    const char* text = std::getenv("BULRUSH_TEST_SEED");
    return text ? static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10)) : 1;
}

void checkNoViolation(Faults faults)
{
    const auto [seed, found] = findViolation(firstSeed(), seedCount, faults);
    BOOST_TEST(found.empty(), "seed " << seed << ": " << found);
}

void checkBugIsFound(InjectedBug injectedBug)
{
    const auto [seed, found] = findViolation(1, seedCount, { .injectedBug = injectedBug });
    BOOST_TEST(!found.empty());
    BOOST_TEST_MESSAGE("seed " << seed << " finds: " << found);
}

/// Suppresses the log messages of simulated failures.
struct QuietLog {
    QuietLog() { FLAGS_minloglevel = google::GLOG_ERROR; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JournalExploration, QuietLog)

BOOST_AUTO_TEST_SUITE(Guarantees)

// For any order of messages, a key must be executed at most once, not-run must never be reported for an attempt that
// was executed, and a key must not stay blocked if its outcome is known.
BOOST_AUTO_TEST_CASE(HoldWithoutFaults) { checkNoViolation({ .hasMessageFaults = false, .hasCrashes = false }); }
BOOST_AUTO_TEST_CASE(HoldWithLostAndLateMessages) { checkNoViolation({ .hasCrashes = false }); }
BOOST_AUTO_TEST_CASE(HoldWithCrashes) { checkNoViolation({}); }

BOOST_AUTO_TEST_SUITE_END()

// The simulation must detect known bugs; otherwise its success would prove nothing.
BOOST_AUTO_TEST_SUITE(InjectedBugs)

BOOST_AUTO_TEST_CASE(ADispatchAfterAnAbsentReadBackIsFound)
{
    checkBugIsFound(InjectedBug::DispatchAfterAbsentReadBack);
}
BOOST_AUTO_TEST_CASE(ARefusalThatIsNotRecordedIsFound) { checkBugIsFound(InjectedBug::ForgetRefusals); }
BOOST_AUTO_TEST_CASE(AWriteWithoutItsConditionIsFound) { checkBugIsFound(InjectedBug::IgnoreConditions); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
