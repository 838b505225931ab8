#include "bulrushstack/kernel/scope_guard.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(ScopeGuardTests)

// Guards against something that counts as in progress for ever since an exception ended it.
BOOST_AUTO_TEST_CASE(EndsWhatAnExceptionLeaves)
{
    const auto owner = std::make_shared<int>(0);
    const auto fail = [&] {
        ++*owner;
        const ScopeGuard guard(owner, [&] { --*owner; });
        throw std::runtime_error("failed");
    };
    BOOST_CHECK_THROW(fail(), std::runtime_error);
    BOOST_TEST(*owner == 0);
}

BOOST_AUTO_TEST_CASE(DoesNothingOnceItsOwnerIsGone)
{
    auto owner = std::make_shared<int>(0);
    bool hasEnded = false;
    {
        const ScopeGuard guard(owner, [&] { hasEnded = true; });
        owner.reset();
    }
    BOOST_TEST(!hasEnded);
}

BOOST_AUTO_TEST_SUITE_END()
