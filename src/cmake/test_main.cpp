// Defines main() of every unit test executable through Boost.Test.
#define BOOST_TEST_MODULE bulrushstack
#include <boost/test/unit_test.hpp>
