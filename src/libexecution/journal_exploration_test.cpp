// Explores interleavings of several instances that receive the same idempotency key. Every message between an
// instance, the table service, the other instances and the service is an event; the explorer chooses which one happens
// next, and lets messages get lost, overtake each other or arrive late, pauses instances and lets them crash. The seed
// determines the run.
#include "service_calls_core.h"
#include "service_calls_fixture.h"

#include "memory_platform.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <glog/logging.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// A fault of the implementation that the exploration has to find.
enum class SeededFault {
    None,
    DispatchAfterAbsentReadBack, ///< a claim without an answer is taken as own if the row is absent
    ForgetRefusals, ///< a queried instance says that it refuses, and does not record that
    IgnoreConditions, ///< the table service writes although a condition does not hold
};

struct Faults {
    bool hasMessageFaults = true;
    bool hasCrashes = true;
    SeededFault seeded = SeededFault::None;
};

const Failure noAnswer { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "no answer" };
const Failure notSent { .code = Errc::Unavailable, .verdict = Verdict::NotRun, .detail = "not sent" };

// Times are long, so that the manual clock decides and no timer of the system ever fires in a run.
constexpr std::chrono::seconds callLimit { 3000 };

ServiceCallOptions nodeOptions()
{
    auto out = optionsWithoutWaits();
    out.storeTimeout = 100s;
    return out;
}

/// The value that a suspended operation waits for.
template <typename T> struct Pending {
    explicit Pending(boost::asio::io_context& context)
        : changed(context)
    {
    }
    std::optional<Result<T>> value;
    Signal changed;
};

struct Dispatched {
    int node = 0;
    int step = 0;
    bool wasExecuted = false;
};

struct Send {
    int node = 0;
    int begin = 0;
    int end = 0;
    std::optional<ServiceOutcome> outcome;
    bool wasExecutedAtEnd = false;
};

class World;

/// One process of bulrushd. A crashed one gets no answers any more; its messages on the way still arrive.
class Node final : public TableService, public PlainService {
public:
    Node(World& world, int index, std::string id, std::uint64_t incarnation);

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

    World& world;
    int index;
    std::string id;
    bool isAlive = true;
    int pausedUntil = 0;
    std::optional<Transaction> unanswered; ///< the last commit without an answer
    RetryBudget retries { { .ratio = 1, .burst = 1000 } };
    ServiceCallExecutor executor;

private:
    static ServiceCallDependencies dependenciesOf(Node& node, std::uint64_t incarnation);
};

class World {
public:
    World(std::uint32_t seed, Faults faults)
        : faults(faults)
        , random(seed)
    {
        directory.updateInstanceList(serviceRoster());
        for (std::string id : { "a", "b", "c" })
            addNode(id, 1);
    }

    /// Returns a random number below the limit.
    int pick(int limit) { return static_cast<int>(random() % static_cast<std::uint32_t>(limit)); }
    bool chance(int percent) { return pick(100) < percent; }

    /// Lets something happen in a later step, chosen at random. `node` is the process that has to be up for it.
    void schedule(int node, std::function<void()> happen, bool mayBeLate = true)
    {
        const int delay = mayBeLate && isFaulty && faults.hasMessageFaults && chance(15) ? pick(60) : 0;
        m_events.push_back({ .node = node, .earliest = step + delay, .happen = std::move(happen) });
    }

    /// Sends a message of a node and waits for the answer. `target` is the process that handles it, or -1.
    template <typename T>
    boost::asio::awaitable<Result<T>> exchange(int node, int target, std::function<Result<T>()> handle, Failure lost)
    {
        auto pending = std::make_shared<Pending<T>>(context);
        auto deliver = [this, node, pending](Result<T> value) {
            schedule(node, [pending, value]() {
                if (!pending->value)
                    pending->value = value;
                pending->changed.notify();
            });
        };
        const int fate = isFaulty && faults.hasMessageFaults ? pick(100) : 99;
        if (fate < 5)
            deliver(Result<T>(notSent));
        else if (fate < 20)
            deliver(Result<T>(lost));
        if (fate >= 12) {
            schedule(target, [handle, deliver, fate]() {
                auto value = handle();
                if (fate >= 20)
                    deliver(std::move(value));
            });
        }
        while (!pending->value)
            co_await pending->changed.wait(24h);
        co_return *pending->value;
    }

    /// Runs the story of one seed: sends and faults, then a healed system in which a caller resends.
    void run()
    {
        for (step = 0; step < 250; ++step)
            advance();
        isFaulty = false;
        for (auto& node : nodes)
            node->pausedUntil = 0;
        settle();
        send(lastAlive());
        settle();
    }

    /// Returns what went wrong; empty if every guarantee held.
    std::string violation() const
    {
        const auto executions
            = std::count_if(dispatched.begin(), dispatched.end(), [](const Dispatched& it) { return it.wasExecuted; });
        if (executions > 1)
            return "the key was executed more than once";
        for (const auto& it : sends) {
            if (!it->outcome)
                continue;
            if (it->outcome->verdict == Verdict::Ran && !it->wasExecutedAtEnd)
                return "an answer says ran and nothing was executed";
            if (it->outcome->verdict == Verdict::NotRun && ranWithin(*it))
                return "an answer says not-run and its attempt was executed";
        }
        if (!sends.back()->outcome)
            return "the last send got no answer";
        if (!hasCrashed && !isServiceInDoubt && sends.back()->outcome->verdict != Verdict::Ran)
            return "the key stays blocked although its outcome is known";
        return {};
    }

    Faults faults;
    std::mt19937 random;
    ManualClock clock;
    MemoryTableService rows;
    InstanceDirectory directory { clock, {} };
    UpstreamSelector selector { directory, {} };
    boost::asio::io_context context; ///< destroyed before what the coroutines of crashed nodes refer to
    bool isFaulty = true;
    bool hasCrashed = false;
    bool isServiceInDoubt = false; ///< an answer of the service was lost
    int step = 0;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::shared_ptr<Send>> sends;
    std::vector<Dispatched> dispatched;

private:
    struct Event {
        int node = -1;
        int earliest = 0;
        std::function<void()> happen;
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
        if (event.earliest > step)
            return false;
        return event.node < 0 || nodes[static_cast<std::size_t>(event.node)]->pausedUntil <= step;
    }

    void advance()
    {
        clock.advance(std::chrono::seconds(pick(40)));
        const int choice = pick(100);
        if (choice < 6 && sends.size() < 8)
            send(pick(static_cast<int>(nodes.size())));
        else if (choice < 9)
            nodes[static_cast<std::size_t>(pick(static_cast<int>(nodes.size())))]->pausedUntil = step + pick(80);
        else if (choice < 10 && faults.hasCrashes && nodes.size() < 5)
            crash(pick(static_cast<int>(nodes.size())));
        else
            happenOne();
    }

    bool happenOne()
    {
        std::vector<std::size_t> ready;
        for (std::size_t n = 0; n < m_events.size(); ++n) {
            if (isReady(m_events[n]))
                ready.push_back(n);
        }
        if (ready.empty())
            return false;
        const auto chosen = ready[static_cast<std::size_t>(pick(static_cast<int>(ready.size())))];
        auto event = std::move(m_events[chosen]);
        m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(chosen));
        if (event.node < 0 || nodes[static_cast<std::size_t>(event.node)]->isAlive)
            event.happen();
        poll();
        return true;
    }

    void settle()
    {
        // Enough for every call to reach its deadline, so an exceeded number means that something never ends.
        for (int n = 0; n < 5000 && !m_events.empty(); ++n, ++step) {
            clock.advance(2s);
            happenOne();
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

    static boost::asio::awaitable<void> sendTask(World& world, Node& node, std::shared_ptr<Send> send)
    {
        auto context = serviceCallContext(world.clock, callLimit);
        auto request = serviceRequest("shop", "POST", "k1");
        send->outcome = co_await node.executor.execute(std::move(context), std::move(request));
        send->end = world.step;
        send->wasExecutedAtEnd = world.wasExecuted();
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
        return std::any_of(dispatched.begin(), dispatched.end(), [](const Dispatched& it) { return it.wasExecuted; });
    }

    bool ranWithin(const Send& send) const
    {
        return std::any_of(dispatched.begin(), dispatched.end(), [&](const Dispatched& it) {
            return it.wasExecuted && it.node == send.node && it.step >= send.begin && it.step <= send.end;
        });
    }

    std::vector<Event> m_events;
};

ServiceCallDependencies Node::dependenciesOf(Node& node, std::uint64_t incarnation)
{
    auto query = [&node](std::string target, nlohmann::json request) {
        return node.query(std::move(target), std::move(request));
    };
    return { .context = node.world.context,
        .clock = node.world.clock,
        .identity = { .id = node.id, .zone = "quay-a", .incarnation = incarnation },
        .tables = node,
        .services = node,
        .selector = node.world.selector,
        .retries = node.retries,
        .queryPeer = query };
}

Node::Node(World& world, int index, std::string id, std::uint64_t incarnation)
    : world(world)
    , index(index)
    , id(std::move(id))
    , executor(dependenciesOf(*this, incarnation), nodeOptions())
{
}

boost::asio::awaitable<Result<std::optional<Row>>> Node::read(RowId id, SteadyTime)
{
    auto handle = [this, id]() { return Result<std::optional<Row>>(world.rows.find(id)); };
    auto result = co_await world.exchange<std::optional<Row>>(index, -1, handle, noAnswer);
    const bool isSeeded = world.faults.seeded == SeededFault::DispatchAfterAbsentReadBack;
    if (isSeeded && unanswered && result && !result->has_value()) {
        Row row { .id = id, .version = 1000000, .value = *unanswered->writes.front().value };
        unanswered.reset();
        co_return std::optional<Row>(std::move(row));
    }
    co_return result;
}

boost::asio::awaitable<Result<RowVersion>> Node::commit(Transaction transaction, SteadyTime)
{
    auto handle = [this, transaction]() -> Result<RowVersion> {
        auto checked = transaction;
        if (world.faults.seeded == SeededFault::IgnoreConditions)
            checked.conditions.clear();
        const auto version = world.rows.apply(checked);
        if (!version)
            return Failure { .code = Errc::Conflict, .verdict = Verdict::NotRun, .detail = "conflict" };
        return *version;
    };
    auto result = co_await world.exchange<RowVersion>(index, -1, handle, noAnswer);
    unanswered.reset();
    if (!result && result.error().verdict == Verdict::MayHaveRun)
        unanswered = std::move(transaction);
    co_return result;
}

boost::asio::awaitable<Result<HttpResponse>> Node::call(Address, ServiceCall, AttemptLimits)
{
    const auto number = world.dispatched.size();
    world.dispatched.push_back({ .node = index, .step = world.step });
    const bool isRefused = world.isFaulty && world.faults.hasMessageFaults && world.chance(15);
    auto handle = [this, number, isRefused]() -> Result<HttpResponse> {
        if (isRefused)
            return Failure { .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = "refused" };
        world.dispatched[number].wasExecuted = true;
        return HttpResponse { .status = 200, .body = "done" };
    };
    auto result = co_await world.exchange<HttpResponse>(index, -1, handle, noAnswer);
    world.isServiceInDoubt = world.isServiceInDoubt || (!result && result.error().verdict == Verdict::MayHaveRun);
    co_return result;
}

boost::asio::awaitable<Result<ServiceCallStatus>> Node::status(Address, std::string, std::string, SteadyTime)
{
    auto handle = [this]() {
        const bool wasExecuted = std::any_of(
            world.dispatched.begin(), world.dispatched.end(), [](const Dispatched& it) { return it.wasExecuted; });
        ServiceCallStatus out { .wasExecuted = wasExecuted };
        if (wasExecuted)
            out.response.body = "done";
        return Result<ServiceCallStatus>(std::move(out));
    };
    co_return co_await world.exchange<ServiceCallStatus>(index, -1, handle, noAnswer);
}

boost::asio::awaitable<Result<nlohmann::json>> Node::query(std::string target, nlohmann::json request)
{
    Node* peer = nullptr;
    for (auto& node : world.nodes)
        peer = node->isAlive && node->id == target ? node.get() : peer;
    auto handle = [this, peer, request]() -> Result<nlohmann::json> {
        if (!peer->isAlive)
            return noAnswer;
        if (world.faults.seeded == SeededFault::ForgetRefusals)
            return nlohmann::json { { "state", "refused" } };
        return peer->executor.answerQuery(request);
    };
    co_return co_await world.exchange<nlohmann::json>(index, peer->index, handle, noAnswer);
}

constexpr int seedCount = 3000;

/// Returns the first seed of the base whose run violates a guarantee, with the violation; 0 if there is none.
std::pair<std::uint32_t, std::string> explore(std::uint32_t base, int seeds, Faults faults)
{
    for (std::uint32_t seed = base; seed < base + static_cast<std::uint32_t>(seeds); ++seed) {
        World world(seed, faults);
        world.run();
        if (auto found = world.violation(); !found.empty())
            return { seed, std::move(found) };
    }
    return { 0, {} };
}

/// BULRUSH_TEST_SEED replays the run of one seed, or starts at another one.
std::uint32_t baseSeed()
{
    const char* text = std::getenv("BULRUSH_TEST_SEED");
    return text ? static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10)) : 1;
}

void checkNoViolation(Faults faults)
{
    const auto [seed, found] = explore(baseSeed(), seedCount, faults);
    BOOST_TEST(found.empty(), "seed " << seed << ": " << found);
}

void checkFound(SeededFault seeded)
{
    const auto [seed, found] = explore(1, seedCount, { .seeded = seeded });
    BOOST_TEST(!found.empty());
    BOOST_TEST_MESSAGE("seed " << seed << " finds: " << found);
}

struct Quiet {
    Quiet() { FLAGS_minloglevel = google::GLOG_ERROR; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JournalExploration, Quiet)

BOOST_AUTO_TEST_SUITE(Guarantees)

// Guards against a second execution, a wrong not-run and a key that stays blocked, for any order of the messages.
BOOST_AUTO_TEST_CASE(HoldWithoutFaults) { checkNoViolation({ .hasMessageFaults = false, .hasCrashes = false }); }
BOOST_AUTO_TEST_CASE(HoldWithLostAndLateMessages) { checkNoViolation({ .hasCrashes = false }); }
BOOST_AUTO_TEST_CASE(HoldWithCrashes) { checkNoViolation({}); }

BOOST_AUTO_TEST_SUITE_END()

// Guards against an exploration that would not notice a broken implementation.
BOOST_AUTO_TEST_SUITE(SeededFaults)

BOOST_AUTO_TEST_CASE(ADispatchAfterAnAbsentReadBackIsFound) { checkFound(SeededFault::DispatchAfterAbsentReadBack); }
BOOST_AUTO_TEST_CASE(ARefusalThatIsNotRecordedIsFound) { checkFound(SeededFault::ForgetRefusals); }
BOOST_AUTO_TEST_CASE(AWriteWithoutItsConditionIsFound) { checkFound(SeededFault::IgnoreConditions); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
