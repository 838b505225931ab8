#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/kernel/result.h"
#include "bulrushstack/kernel/service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(Kernel)

BOOST_AUTO_TEST_SUITE(VerdictJoin)

// Guards against a later attempt with NotRun hiding an earlier attempt that may have run: a retry could then execute
// the request twice.
BOOST_AUTO_TEST_CASE(KeepsTheVerdictOfEveryAttempt)
{
    BOOST_TEST((join(Verdict::MayHaveRun, Verdict::NotRun) == Verdict::MayHaveRun));
    BOOST_TEST((join(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun));
    BOOST_TEST((join(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran));
    BOOST_TEST((join(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(ToStringAndParseRoundTrip)
{
    for (auto it : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran })
        BOOST_TEST((parseVerdict(toString(it)) == it));
    BOOST_TEST(!parseVerdict("maybe").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Digests)

BOOST_AUTO_TEST_CASE(MatchPublishedVectors)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(toHex(hmacSha256("Jefe", "what do ya want for nothing?"))
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    BOOST_TEST(equalInConstantTime("secret", "secret"));
    BOOST_TEST(!equalInConstantTime("secret", "secreT"));
    BOOST_TEST(randomId() != randomId());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Registry)

struct RecordingService final : Service {
    RecordingService(std::string name, std::vector<std::string> dependencies, std::vector<std::string>& log)
        : m_name(std::move(name))
        , m_dependencies(std::move(dependencies))
        , m_log(log)
    {
    }

    std::string_view name() const override { return m_name; }
    std::vector<std::string> dependencies() const override { return m_dependencies; }
    void start(ServiceRegistry&) override { m_log.push_back("start " + m_name); }
    boost::asio::awaitable<void> stop() override
    {
        m_log.push_back("stop " + m_name);
        co_return;
    }

    std::string m_name;
    std::vector<std::string> m_dependencies;
    std::vector<std::string>& m_log;
};

struct Fixture {
    boost::asio::io_context context;
    ServiceRegistry registry { context };
    std::vector<std::string> log;

    void add(std::string name, std::vector<std::string> dependencies)
    {
        registry.add(std::make_unique<RecordingService>(std::move(name), std::move(dependencies), log));
    }

    std::string startError()
    {
        try {
            registry.startAll();
        } catch (const std::runtime_error& error) {
            return error.what();
        }
        return {};
    }
};

// Guards against a service that accepts requests before its dependencies have started or after they have stopped.
BOOST_FIXTURE_TEST_CASE(StartsDependenciesFirstAndStopsThemLast, Fixture)
{
    add("api", { "store" });
    add("store", {});
    registry.startAll();
    boost::asio::co_spawn(context, registry.stopAll(), boost::asio::detached);
    context.run();
    const std::vector<std::string> expected { "start store", "start api", "stop api", "stop store" };
    BOOST_TEST(log == expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(MissingDependencyIsReported, Fixture)
{
    add("api", { "store" });
    BOOST_TEST(startError() == "service 'api' depends on 'store', which is not registered");
    BOOST_TEST(log.empty());
}

BOOST_FIXTURE_TEST_CASE(CyclicDependencyIsReported, Fixture)
{
    add("a", { "b" });
    add("b", { "a" });
    BOOST_TEST(startError() == "services 'b' and 'a' depend on each other");
}

BOOST_FIXTURE_TEST_CASE(DuplicateNameIsRejected, Fixture)
{
    add("api", {});
    BOOST_CHECK_THROW(add("api", {}), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
