#include "bulrushstack/serving/placement_lease.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

// Explores all interleavings of a few disruptions of two instances and the store that keeps their lease: instances that
// are down for a while, the store coming back from copies of any age, and renewals that arrive late.

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = 250ms;
constexpr unsigned tickCount = 64;
constexpr std::size_t maxDisruptions = 2;
/// Time that the platform requires between the orders of two holders.
constexpr auto leasePeriod = 3s;

const Address address { .host = "127.0.0.1", .port = 1 };

/// What happens to the instances or to the store at the beginning of a tick.
struct Disruption {
    enum class Kind { Down, LateWrite, Restoration } kind;
    std::size_t instance; ///< the one that is down, or whose next write arrives a tick late
    unsigned ticks; ///< time for which it is down, or age of the copy
};

std::vector<Disruption> allDisruptions()
{
    std::vector<Disruption> out;
    for (std::size_t instance : { 0, 1 }) {
        out.push_back({ Disruption::Kind::LateWrite, instance, 0 });
        for (unsigned ticks : { 1, 8, 18, 32 })
            out.push_back({ Disruption::Kind::Down, instance, ticks });
    }
    for (unsigned ticks : { 1, 4, 10, 18, 28, 36, 48 })
        out.push_back({ Disruption::Kind::Restoration, 0, ticks });
    return out;
}

std::string describe(unsigned at, const Disruption& disruption)
{
    static constexpr std::array names { "down", "late write", "restoration" };
    return "tick " + std::to_string(at) + ": " + names[static_cast<std::size_t>(disruption.kind)] + " "
        + std::to_string(disruption.instance) + " " + std::to_string(disruption.ticks) + "; ";
}

struct Instance {
    explicit Instance(std::string name)
        : id(std::move(name))
    {
    }

    PlacementLease makeLease() const
    {
        return PlacementLease({ .instanceId = id, .validity = 2s, .handoverPause = 3250ms, .renewInterval = 700ms });
    }

    std::string id;
    PlacementLease lease = makeLease();
    unsigned downUntil = 0;
    bool isNextWriteLate = false;
    std::optional<SteadyTime> lateWriteSentAt;
};

/// Two instances and the row of their lease. A copy is a whole state, so that a search can go on from it.
struct World {
    std::array<Instance, 2> instances { Instance("first"), Instance("second") };
    std::optional<LeaseRecord> row;
    std::vector<std::optional<LeaseRecord>> rowsByTick;
    std::uint64_t lastVersion = 0;
    bool isRestored = false;
    unsigned at = 0;
    std::string lastSender;
    SteadyTime lastOrderAt {};

    SteadyTime now() const { return SteadyTime(1h + at * tick); }

    void apply(const Disruption& disruption)
    {
        auto& instance = instances[disruption.instance];
        switch (disruption.kind) {
        case Disruption::Kind::Down:
            instance.downUntil = at + disruption.ticks;
            instance.lease = instance.makeLease();
            instance.lateWriteSentAt.reset();
            break;
        case Disruption::Kind::LateWrite:
            instance.isNextWriteLate = true;
            break;
        case Disruption::Kind::Restoration:
            row = disruption.ticks <= rowsByTick.size() ? rowsByTick[rowsByTick.size() - disruption.ticks]
                                                        : std::nullopt;
            isRestored = true;
            if (row) {
                row->version = ++lastVersion;
                row->isFromCopy = true;
            }
            break;
        }
    }

    void write(Instance& instance, SteadyTime sentAt)
    {
        auto& lease = instance.lease;
        if (lease.expectedVersion() != (row ? row->version : 0)) {
            lease.recordLoss();
            return;
        }
        row = LeaseRecord { .holder = instance.id,
            .address = address,
            .version = ++lastVersion,
            .isInHandover = lease.isInHandover(sentAt) };
        if (isRestored)
            lease.recordRestoration();
        lease.recordWrite(lastVersion, address, sentAt);
    }

    /// An instance reads the row unless it holds the lease, and writes it if that is due, as LeaseManager does.
    void step(Instance& instance)
    {
        if (const auto sentAt = std::exchange(instance.lateWriteSentAt, std::nullopt)) {
            write(instance, *sentAt);
            return;
        }
        if (!instance.lease.isHolder(now()))
            instance.lease.observe(row, now());
        if (!instance.lease.shouldWrite(now()))
            return;
        if (std::exchange(instance.isNextWriteLate, false))
            instance.lateWriteSentAt = now();
        else
            write(instance, now());
    }

    /// Lets a tick pass. Returns whether two holders sent orders too soon after each other.
    bool pass()
    {
        bool isBroken = false;
        for (auto& it : instances) {
            if (at < it.downUntil)
                continue;
            step(it);
            if (!it.lease.maySendOrders(now()))
                continue;
            isBroken = isBroken || (!lastSender.empty() && lastSender != it.id && now() - lastOrderAt < leasePeriod);
            lastSender = it.id;
            lastOrderAt = now();
        }
        rowsByTick.push_back(row);
        ++at;
        return isBroken;
    }
};

/// The result of a search through all ways in which the disruptions can follow each other.
struct Search {
    const std::vector<Disruption> disruptions = allDisruptions();
    unsigned long runs = 0;
    unsigned long runsWithTwoHolders = 0;
    std::vector<std::string> broken;

    void explore(World world, std::size_t left, const std::string& path)
    {
        bool hasBroken = false;
        while (world.at < tickCount && !hasBroken) {
            for (std::size_t i = 0; left > 0 && i < disruptions.size(); ++i) {
                auto next = world;
                next.apply(disruptions[i]);
                explore(std::move(next), left - 1, path + describe(world.at, disruptions[i]));
            }
            hasBroken = world.pass();
        }
        ++runs;
        runsWithTwoHolders += world.lastSender == "second" ? 1 : 0;
        if (hasBroken)
            broken.push_back(path);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(APlacementLeaseUnderDisruptions)

// Guards against orders of a holder that takes up a lease which a copy of the store names as its own, soon after those
// of the holder since.
BOOST_AUTO_TEST_CASE(NeverHasTwoHoldersWithinTheLeasePeriod)
{
    Search search;
    search.explore(World(), maxDisruptions, "");
    BOOST_TEST_MESSAGE(search.runs << " runs, " << search.broken.size() << " broken");
    BOOST_TEST(search.runsWithTwoHolders > 0u);
    BOOST_TEST(search.broken.size() == 0u);
    for (const auto& it : search.broken)
        BOOST_TEST_MESSAGE("broken: " << it);
}

BOOST_AUTO_TEST_SUITE_END()
