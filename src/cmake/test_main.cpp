// The entry point of every unit test program.
#define BOOST_TEST_MODULE bulrushstack
#include <boost/test/unit_test.hpp>
