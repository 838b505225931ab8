#include "bulrushstack/net/buffer_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace bulrushstack;

namespace {

constexpr std::size_t limit = 1000; // bytes

struct Fixture {
    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(limit);

    /// Lets buffers grow in turn, as far as they may.
    void growWithoutEnd(std::deque<BufferShare>& shares)
    {
        for (std::size_t size = 1; size <= limit; ++size) {
            for (auto& it : shares)
                it.resize(size);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BuffersThatShareABudget, Fixture)

BOOST_AUTO_TEST_CASE(OneTakesHalfOfIt)
{
    BufferShare share(budget);
    BOOST_TEST(share.resize(limit / 2));
    BOOST_TEST(!share.resize(limit / 2 + 1));
    BOOST_TEST(budget->used() == limit / 2);
}

// Guards against endless messages that take the memory of the others.
BOOST_AUTO_TEST_CASE(EndlessOnesLeaveRoomForASmallOne)
{
    std::deque<BufferShare> endless;
    for (int i = 0; i < 9; ++i)
        endless.emplace_back(budget);
    growWithoutEnd(endless);
    BufferShare small(budget);
    BOOST_TEST(small.resize(limit / 25));
    BOOST_TEST(budget->used() <= limit);
}

BOOST_AUTO_TEST_CASE(OneThatEndsLeavesItsRoomToTheOthers)
{
    {
        BufferShare first(budget);
        BOOST_TEST(first.resize(limit / 2));
        BufferShare second(budget);
        BOOST_TEST(!second.resize(limit / 2));
        BOOST_TEST(first.resize(1));
        BOOST_TEST(second.resize(limit / 4));
    }
    BOOST_TEST(budget->used() == 0u);
}

// Guards against parts of a budget that take more than the whole together.
BOOST_AUTO_TEST_CASE(PartsAreBoundedByTheWhole)
{
    BufferBudget* whole = budget.get();
    BufferShare first(std::make_shared<BufferBudget>(limit, budget));
    BufferShare second(std::make_shared<BufferBudget>(limit / 4, budget));
    BOOST_TEST(first.resize(limit / 2));
    BOOST_TEST(!second.resize(limit / 4));
    BOOST_TEST(second.resize(limit / 8));
    BOOST_TEST(whole->used() == limit / 2 + limit / 8);
    BOOST_TEST(!second.fits(limit / 8 + 1));
    BOOST_TEST(first.resize(0));
    BOOST_TEST(whole->used() == limit / 8);
}

BOOST_AUTO_TEST_CASE(WithoutABudgetEverySizeIsPermitted)
{
    BufferShare share(nullptr);
    BOOST_TEST(share.resize(SIZE_MAX));
}

BOOST_AUTO_TEST_SUITE_END()
