#include "scripted_server.h"

#include "bulrushstack/kernel/ids.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

struct ObjectFixture : ScriptedServerFixture {
    Result<std::optional<std::string>> get(const std::string& digest)
    {
        return runAwaitable(context, objects.get(digest, noDeadline));
    }

    Result<std::string> put(const std::string& content)
    {
        return runAwaitable(context, objects.put(content, noDeadline));
    }

    HttpObjectStore objects { client, address };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObjectStoreOverHttp, ObjectFixture)

BOOST_AUTO_TEST_CASE(PutNamesTheObjectByItsDigest)
{
    respondWith(201, "");
    const auto digest = put("content").value();
    BOOST_TEST(digest == sha256Hex("content"));
    BOOST_TEST(requests.at(0).line == "PUT /objects/" + digest);
    BOOST_TEST(requests.at(0).body == "content");
}

BOOST_AUTO_TEST_CASE(GetReturnsTheContent)
{
    respondWith(200, "content");
    BOOST_TEST(get(sha256Hex("content")).value().value() == "content");
    respondWith(404, "");
    BOOST_TEST(!get(sha256Hex("content")).value().has_value());
}

// Guards against content that was corrupted or replaced in the store.
BOOST_AUTO_TEST_CASE(OtherContentIsMalformed)
{
    respondWith(200, "other content");
    auto content = get(sha256Hex("content"));
    BOOST_REQUIRE(content.has_error());
    BOOST_TEST((content.error().code == Errc::Malformed));
}

BOOST_AUTO_TEST_CASE(OutageIsUnavailable)
{
    respondWith(503, "");
    BOOST_TEST((get("d").error().code == Errc::Unavailable));
    auto stored = put("content");
    BOOST_TEST((stored.error().code == Errc::Unavailable));
    BOOST_TEST((stored.error().verdict == Verdict::NotRun));
}

// Guards against a failed configuration change because the connection was lost during the idempotent write of an
// object.
BOOST_AUTO_TEST_CASE(PutIsRetriedAfterALostConnection)
{
    script = [](const ReceivedRequest& request) {
        return ScriptedResponse { .kind
            = request.connection == 1 ? ScriptedResponse::Kind::Close : ScriptedResponse::Kind::Respond };
    };
    BOOST_TEST(put("content").value() == sha256Hex("content"));
    BOOST_TEST(requests.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
