#include "lease_row.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

constexpr RowVersion afterOneRestoration = (RowVersion(1) << restorationShift) | 5;

/// Returns the row that a holder writes, as the store holds it under another version afterwards.
Row rowWritten(RowVersion expected, RowVersion version, bool isInHandover = false)
{
    const LeaseRecord record {
        .holder = "front-1", .address = { .host = "10.0.0.1", .port = 7380 }, .isInHandover = isInHandover
    };
    const auto transaction = makeLeaseTransaction(expected, record);
    return { .id = leaseRowId, .version = version, .value = *transaction.writes.front().value };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ARowOfTheLease)

BOOST_AUTO_TEST_CASE(NamesTheHolderAndItsAddress)
{
    const auto record = decodeLeaseRow(rowWritten(4, 5));
    const LeaseRecord expected { .holder = "front-1", .address = { .host = "10.0.0.1", .port = 7380 }, .version = 5 };
    BOOST_CHECK(record == expected);
}

// Guards against a row of the copy that is taken for one that was written since the store was restored.
BOOST_AUTO_TEST_CASE(IsFromTheCopyUntilItIsWrittenAgain)
{
    BOOST_TEST(decodeLeaseRow(rowWritten(4, afterOneRestoration)).isFromCopy);
    BOOST_TEST(!decodeLeaseRow(rowWritten(afterOneRestoration, afterOneRestoration + 1)).isFromCopy);
}

BOOST_AUTO_TEST_CASE(TellsWhetherItsHolderMaySendOrders)
{
    BOOST_TEST(decodeLeaseRow(rowWritten(4, 5, true)).isInHandover);
    BOOST_TEST(!decodeLeaseRow(rowWritten(4, 5, false)).isInHandover);
}

BOOST_AUTO_TEST_CASE(NamesNoHolderAfterItsRelease)
{
    const auto transaction = makeLeaseTransaction(4, LeaseRecord());
    const auto record = decodeLeaseRow({ .id = leaseRowId, .version = 5, .value = *transaction.writes.front().value });
    BOOST_CHECK((record == LeaseRecord { .version = 5 }));
}

BOOST_AUTO_TEST_CASE(OfAnotherProgramNamesNoHolder)
{
    BOOST_TEST(decodeLeaseRow({ .id = leaseRowId, .version = 5, .value = "x" }).holder.empty());
}

BOOST_AUTO_TEST_SUITE_END()
