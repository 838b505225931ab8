#include "bulrushstack/net/http.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(HttpValues)

BOOST_AUTO_TEST_CASE(HeaderNamesIgnoreCase)
{
    HttpHeaders headers { { "Content-Type", "a" }, { "X-One", "1" } };
    headers.set("content-type", "b");
    BOOST_TEST(headers.find("CONTENT-TYPE").value() == "b");
    BOOST_TEST(headers.count("content-type") == 1u);
    headers.remove("x-one");
    BOOST_TEST(!headers.find("X-One").has_value());
}

BOOST_AUTO_TEST_CASE(TargetSplitsIntoPathAndQuery)
{
    HttpRequest request;
    request.target = "/a/b?x=1%202&y";
    BOOST_TEST(request.path() == "/a/b");
    BOOST_TEST(queryParameter(request.query(), "x").value() == "1 2");
    BOOST_TEST(queryParameter(request.query(), "y").value().empty());
    BOOST_TEST(!queryParameter(request.query(), "z").has_value());
}

// Guards against forwarding a malformed percent escape as literal text.
BOOST_AUTO_TEST_CASE(BrokenEscapesAreRefused)
{
    BOOST_TEST(!percentDecode("%").has_value());
    BOOST_TEST(!percentDecode("%4").has_value());
    BOOST_TEST(!percentDecode("%zz").has_value());
    BOOST_TEST(!percentDecode("a%00b").has_value());
    const std::string text = "key/with space+%\xc3\xa9";
    BOOST_TEST(percentDecode(percentEncode(text)).value() == text);
}

BOOST_AUTO_TEST_SUITE_END()
