#include "bulrushstack/kernel/utf8.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(Utf8Tests)

BOOST_AUTO_TEST_CASE(AcceptsCharactersOfEveryLength)
{
    for (const std::string text :
        { "", "m-1/a3", "\xC2\x80", "\xE0\xA0\x80", "\xEF\xBF\xBF", "\xF0\x90\x80\x80", "\xF4\x8F\xBF\xBF" })
        BOOST_TEST(isUtf8(text), text);
}

BOOST_AUTO_TEST_CASE(RejectsBytesThatAreNone)
{
    for (const std::string text : { "a\xFF", "\x80", "\xC3", "\xC3(", "\xE2\x82", "\xC0\xAF", "\xE0\x9F\xBF",
             "\xF0\x8F\xBF\xBF", "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xF8\x88\x80\x80\x80" })
        BOOST_TEST(!isUtf8(text), text);
}

BOOST_AUTO_TEST_SUITE_END()
