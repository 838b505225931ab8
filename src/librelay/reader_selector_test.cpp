#include "bulrushstack/relay/reader_selector.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

std::vector<StoreReader> readers(int n)
{
    std::vector<StoreReader> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        out.push_back({ .instance = "r" + std::to_string(i), .address = { .host = "10.0.0.1", .port = 1 } });
    return out;
}

struct Fixture {
    ManualClock clock;
    ReaderSelector selector { clock, "me", 1 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReaderSelection, Fixture)

BOOST_AUTO_TEST_CASE(TakesTheStoreWithoutReadersAndOnAReader)
{
    BOOST_TEST(!selector.choose().has_value());
    BOOST_TEST(selector.mayReadStore());
    auto list = readers(2);
    list.push_back({ .instance = "me" });
    selector.setReaders(list);
    BOOST_TEST(selector.isReader());
    BOOST_TEST(!selector.choose().has_value());
}

// Guards against one reader that serves a whole zone while the others are idle.
BOOST_AUTO_TEST_CASE(SpreadsInstancesOverTheReaders)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 60; ++i) {
        ReaderSelector other(clock, "i" + std::to_string(i), 1);
        other.setReaders(readers(3));
        ++counts[other.choose()->instance];
    }
    BOOST_TEST(counts.size() == 3u);
    for (const auto& [reader, count] : counts)
        BOOST_TEST(count < 40, reader);
}

BOOST_AUTO_TEST_SUITE(AfterAFailure)

BOOST_AUTO_TEST_CASE(TakesAnotherReaderAndComesBack)
{
    selector.setReaders(readers(2));
    const auto first = *selector.choose();
    selector.recordFailure(first.instance);
    const auto second = *selector.choose();
    BOOST_TEST((first != second));
    clock.advance(1100ms);
    BOOST_TEST((*selector.choose() == first));
}

// Guards against an instance that spends most of its time waiting for a reader that is gone.
BOOST_AUTO_TEST_CASE(AvoidsAReaderLongerEachTime)
{
    selector.setReaders(readers(1));
    for (auto avoidance : { 1s, 2s, 4s, 8s, 8s }) {
        selector.recordFailure("r0");
        clock.advance(avoidance - 1ms);
        BOOST_TEST(!selector.choose().has_value());
        clock.advance(1ms);
        BOOST_TEST(selector.choose().has_value());
    }
    selector.recordSuccess("r0");
    selector.recordFailure("r0");
    clock.advance(1s);
    BOOST_TEST(selector.choose().has_value());
}

// Guards against failures that are forgotten when the holder sends the same readers again.
BOOST_AUTO_TEST_CASE(KeepsWhatItKnowsAboutReadersThatRemain)
{
    selector.setReaders(readers(1));
    selector.recordFailure("r0");
    selector.setReaders(readers(1));
    BOOST_TEST(!selector.choose().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against hundreds of instances that all ask a store which is down.
BOOST_AUTO_TEST_CASE(AsksAFailedStoreOnlyNowAndThenWhileThereAreReaders)
{
    selector.setReaders(readers(1));
    selector.recordFailure("r0");
    BOOST_TEST(selector.mayReadStore());
    selector.recordStoreRead(false);
    BOOST_TEST(!selector.mayReadStore());
    clock.advance(1s);
    BOOST_TEST(!selector.mayReadStore());
    clock.advance(1s);
    BOOST_TEST(selector.mayReadStore());
    selector.recordStoreRead(true);
    BOOST_TEST(selector.mayReadStore());
    selector.recordStoreRead(false);
    selector.setReaders({});
    BOOST_TEST(selector.mayReadStore());
}

BOOST_AUTO_TEST_SUITE_END()
