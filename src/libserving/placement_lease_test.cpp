#include "bulrushstack/serving/placement_lease.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const Address address { .host = "127.0.0.1", .port = 1 };

struct Instance {
    explicit Instance(std::string id, const Clock& instanceClock)
        : lease({ .instanceId = std::move(id), .validity = 3s, .handoverPause = 3300ms })
        , clock(instanceClock)
    {
    }

    bool maySendOrders() const { return lease.maySendOrders(clock.bootNow()); }
    bool shouldWrite() const { return lease.shouldWrite(clock.bootNow()); }

    PlacementLease lease;
    const Clock& clock;
};

struct Fixture {
    ManualClock clock;
    Instance first { "first", clock };
    Instance second { "second", clock };

    /// Records a write by one instance and lets the other read the row.
    void write(Instance& writer, Instance& reader, std::uint64_t version)
    {
        reader.lease.observe(write(writer, version), clock.bootNow());
    }

    /// Records a write by one instance and returns the row.
    LeaseRecord write(Instance& writer, std::uint64_t version)
    {
        const bool isInHandover = writer.lease.isInHandover(clock.bootNow());
        writer.lease.recordWrite(version, address, clock.bootNow());
        auto out = *writer.lease.record();
        out.isInHandover = isInHandover;
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(APlacementLease, Fixture)

BOOST_AUTO_TEST_CASE(IsTakenAtOnceWhereNobodyHeldIt)
{
    BOOST_TEST(!first.shouldWrite());
    first.lease.observe(std::nullopt, clock.bootNow());
    BOOST_TEST(first.shouldWrite());
    BOOST_TEST(first.lease.expectedVersion() == 0u);
    first.lease.recordWrite(7, address, clock.bootNow());
    BOOST_TEST(first.maySendOrders());
    BOOST_TEST(first.lease.fence() == 7u);
}

BOOST_AUTO_TEST_CASE(KeepsItsFenceWhileItIsRenewed)
{
    first.lease.observe(std::nullopt, clock.bootNow());
    first.lease.recordWrite(7, address, clock.bootNow());
    BOOST_TEST(!first.shouldWrite());
    clock.advance(1s);
    BOOST_TEST(first.shouldWrite());
    first.lease.recordWrite(9, address, clock.bootNow());
    BOOST_TEST(first.lease.fence() == 7u);
    BOOST_TEST(first.lease.expectedVersion() == 9u);
}

// Guards against two holders whose orders interleave.
BOOST_AUTO_TEST_CASE(PassesOnOnlyAfterItsExpiryAndThePause)
{
    first.lease.observe(std::nullopt, clock.bootNow());
    second.lease.observe(std::nullopt, clock.bootNow());
    write(first, second, 1);
    clock.advance(2999ms);
    BOOST_TEST(first.maySendOrders());
    BOOST_TEST(!second.shouldWrite());
    clock.advance(1ms);
    BOOST_TEST(!first.maySendOrders());
    BOOST_TEST(second.shouldWrite());
    write(second, first, 2);
    clock.advance(3299ms);
    BOOST_TEST(!second.maySendOrders());
    clock.advance(1ms);
    second.lease.recordWrite(3, address, clock.bootNow());
    BOOST_TEST(second.maySendOrders());
    BOOST_TEST(second.lease.fence() == 2u);
    BOOST_TEST(!first.maySendOrders());
}

BOOST_AUTO_TEST_CASE(IsNotTakenWhileItIsRenewed)
{
    write(first, second, 1);
    clock.advance(2s);
    write(first, second, 2);
    clock.advance(2s);
    BOOST_TEST(!second.shouldWrite());
}

// Guards against a holder that resumes from suspension and does not notice that its lease has expired.
BOOST_AUTO_TEST_CASE(EndsForAHolderThatWasSuspended)
{
    write(first, second, 1);
    clock.suspend(10s);
    BOOST_TEST(!first.maySendOrders());
}

// Guards against several seconds without a holder after the process of the holder restarts.
BOOST_AUTO_TEST_CASE(IsTakenBackAtOnceByANewProcessOnTheSameInstance)
{
    const LeaseRecord record { .holder = "first", .address = address, .version = 4 };
    first.lease.observe(record, clock.bootNow());
    BOOST_TEST(first.shouldWrite());
    first.lease.recordWrite(5, address, clock.bootNow());
    BOOST_TEST(first.maySendOrders());
    BOOST_CHECK(first.lease.origin() == LeaseOrigin::EarlierProcess);
}

BOOST_AUTO_TEST_SUITE(WhenTheHolderIsRestarted)

// Guards against orders of a new holder that is restarted during its handover pause, soon after those of the holder
// before.
BOOST_AUTO_TEST_CASE(KeepsTheHandoverPauseUntilItsEnd)
{
    second.lease.observe(LeaseRecord { .holder = "first", .version = 4 }, clock.bootNow());
    clock.advance(3s);
    const auto row = write(second, 5);
    clock.advance(2s);
    Instance restarted("second", clock);
    restarted.lease.observe(row, clock.bootNow());
    BOOST_TEST(restarted.shouldWrite());
    const auto next = write(restarted, 6);
    BOOST_TEST(next.isInHandover);
    BOOST_CHECK(restarted.lease.origin() == LeaseOrigin::OtherInstance);
    clock.advance(2s);
    write(restarted, 7);
    clock.advance(1299ms);
    BOOST_TEST(!restarted.maySendOrders());
    clock.advance(1ms);
    BOOST_TEST(restarted.maySendOrders());
}

BOOST_AUTO_TEST_CASE(IsTakenBackAtOnceAfterThePause)
{
    second.lease.observe(LeaseRecord { .holder = "first", .version = 4 }, clock.bootNow());
    clock.advance(3s);
    write(second, 5);
    clock.advance(2s);
    write(second, 6);
    clock.advance(1300ms);
    const auto row = write(second, 7);
    Instance restarted("second", clock);
    restarted.lease.observe(row, clock.bootNow());
    write(restarted, 8);
    BOOST_TEST(restarted.maySendOrders());
}

// Guards against a pause that begins anew with each lost renewal.
BOOST_AUTO_TEST_CASE(IsNotPausedAnewForTheSameProcess)
{
    second.lease.observe(LeaseRecord { .holder = "first", .version = 4 }, clock.bootNow());
    clock.advance(3s);
    second.lease.observe(write(second, 5), clock.bootNow());
    clock.advance(3300ms);
    BOOST_TEST(!second.lease.isHolder(clock.bootNow()));
    write(second, 6);
    BOOST_TEST(second.maySendOrders());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsFreeAfterItsReleaseButKeepsTheHandoverPause)
{
    second.lease.observe(LeaseRecord { .holder = "", .version = 4 }, clock.bootNow());
    BOOST_TEST(second.shouldWrite());
    second.lease.recordWrite(5, address, clock.bootNow());
    BOOST_TEST(!second.maySendOrders());
}

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsRestoredFromACopy)

// Guards against two holders in turn because the copy names the one before.
BOOST_AUTO_TEST_CASE(KeepsTheHandoverPauseForAHolderThatTheCopyNames)
{
    write(first, second, 1);
    clock.advance(3s);
    write(second, first, 2);
    const LeaseRecord copied { .holder = "first", .address = address, .version = 9 };
    first.lease.observe(copied, clock.bootNow());
    BOOST_TEST(first.shouldWrite());
    first.lease.recordWrite(10, address, clock.bootNow());
    BOOST_TEST(!first.maySendOrders());
    BOOST_CHECK(first.lease.origin() == LeaseOrigin::OtherInstance);
}

// Guards against two holders in turn because the copy names the one before, which has been restarted since.
BOOST_AUTO_TEST_CASE(KeepsTheHandoverPauseForAnEarlierProcessThatTheCopyNames)
{
    first.lease.observe(
        LeaseRecord { .holder = "first", .address = address, .version = 9, .isFromCopy = true }, clock.bootNow());
    BOOST_TEST(!first.shouldWrite());
    clock.advance(2999ms);
    BOOST_TEST(!first.shouldWrite());
    clock.advance(1ms);
    BOOST_TEST(first.shouldWrite());
    first.lease.recordWrite(10, address, clock.bootNow());
    BOOST_TEST(!first.maySendOrders());
    BOOST_CHECK(first.lease.origin() == LeaseOrigin::OtherInstance);
}

// Guards against a lease that no instance can acquire any more because the copy is older than its row.
BOOST_AUTO_TEST_CASE(IsAcquiredAnewIfTheCopyHasNoRow)
{
    write(first, second, 5);
    second.lease.observe(std::nullopt, clock.bootNow());
    BOOST_TEST(!second.shouldWrite());
    clock.advance(3s);
    BOOST_TEST(second.shouldWrite());
    BOOST_TEST(second.lease.expectedVersion() == 0u);
    second.lease.recordWrite(9, address, clock.bootNow());
    BOOST_TEST(!second.maySendOrders());
}

// Guards against two holders in turn because a process that was started after the restoration finds no row.
BOOST_AUTO_TEST_CASE(KeepsTheHandoverPauseIfANewProcessFindsNoRow)
{
    first.lease.observe(std::nullopt, clock.bootNow());
    first.lease.recordRestoration();
    write(first, 9);
    BOOST_TEST(first.lease.isHolder(clock.bootNow()));
    BOOST_TEST(!first.maySendOrders());
    BOOST_CHECK(first.lease.origin() == LeaseOrigin::OtherInstance);
    clock.advance(2s);
    write(first, 10);
    clock.advance(2s);
    write(first, 11);
    clock.advance(2299ms);
    BOOST_TEST(!first.maySendOrders());
    clock.advance(1ms);
    BOOST_TEST(first.maySendOrders());
}

BOOST_AUTO_TEST_CASE(IsAcquiredAtOnceByItsLastHolderIfTheCopyHasNoRow)
{
    write(first, second, 5);
    first.lease.recordLoss();
    first.lease.observe(std::nullopt, clock.bootNow());
    first.lease.recordRestoration();
    write(first, 9);
    BOOST_TEST(first.maySendOrders());
}

// Guards against two holders in turn because the last holder that the copy names did not see its successor.
BOOST_AUTO_TEST_CASE(KeepsTheHandoverPauseForAHolderWhoseLeaseHadExpired)
{
    write(first, second, 5);
    clock.advance(3s);
    first.lease.observe(
        LeaseRecord { .holder = "first", .address = address, .version = 9, .isFromCopy = true }, clock.bootNow());
    first.lease.recordWrite(10, address, clock.bootNow());
    BOOST_TEST(!first.maySendOrders());
}

// Guards against two holders in turn because a holder that lost the lease during its handover pause acquires it again.
BOOST_AUTO_TEST_CASE(KeepsTheRestOfTheHandoverPauseIfItIsAcquiredAgain)
{
    write(first, second, 5);
    clock.advance(3s);
    write(second, first, 6);
    clock.advance(500ms);
    second.lease.recordLoss();
    second.lease.observe(
        LeaseRecord { .holder = "second", .address = address, .version = 9, .isFromCopy = true }, clock.bootNow());
    second.lease.recordWrite(10, address, clock.bootNow());
    BOOST_TEST(second.lease.isHolder(clock.bootNow()));
    BOOST_TEST(!second.maySendOrders());
    clock.advance(1500ms);
    second.lease.recordWrite(11, address, clock.bootNow());
    clock.advance(1400ms);
    BOOST_TEST(second.maySendOrders());
}

BOOST_AUTO_TEST_CASE(IsResumedAtOnceByItsLastHolder)
{
    write(first, second, 5);
    first.lease.recordLoss();
    first.lease.observe(
        LeaseRecord { .holder = "first", .address = address, .version = 9, .isFromCopy = true }, clock.bootNow());
    first.lease.recordWrite(10, address, clock.bootNow());
    BOOST_TEST(first.maySendOrders());
    BOOST_TEST(first.lease.fence() == 10u);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a read that is processed after a newer one.
BOOST_AUTO_TEST_CASE(IgnoresOlderReadings)
{
    second.lease.observe(LeaseRecord { .holder = "first", .version = 4 }, clock.bootNow());
    second.lease.observe(LeaseRecord { .holder = "third", .version = 3 }, clock.bootNow());
    BOOST_TEST(second.lease.record()->holder == "first");
}

BOOST_AUTO_TEST_SUITE_END()
