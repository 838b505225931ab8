#include "bulrushstack/kernel/log_output.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    int pipeEnds[2] = { -1, -1 };

    Fixture()
    {
        BOOST_REQUIRE(::pipe(pipeEnds) == 0);
        FLAGS_logtostderr = false;
        FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    }

    ~Fixture()
    {
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }

    LogOutputOptions options() const { return { .descriptor = pipeEnds[1], .linesPerSecond = 10, .burst = 3 }; }

    static void send(LogOutput& output, const std::string& message)
    {
        output.send(google::GLOG_INFO, "", "", 0, google::LogMessageTime(), message.data(), message.size());
    }

    std::string received() const
    {
        std::string out(1 << 20, '\0');
        const auto n = ::read(pipeEnds[0], out.data(), out.size());
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogOutputLines, Fixture)

// Guards against a log volume that grows with the request rate.
BOOST_AUTO_TEST_CASE(DropsAndCountsLinesAboveTheRate)
{
    LogOutput output(clock, options());
    for (int i = 0; i < 10; ++i)
        send(output, "event=a");
    BOOST_TEST(output.dropped() == 7u);
    clock.advance(1s);
    send(output, "event=b");
    const auto text = received();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 4);
    BOOST_TEST(text.find("event=b lines_left_out=7") != std::string::npos);
}

// Guards against a process that blocks because the reader of its log does not keep up.
BOOST_AUTO_TEST_CASE(NeverBlocksOnAFullPipe)
{
    auto largeBurst = options();
    largeBurst.burst = 100'000;
    LogOutput output(clock, largeBurst);
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        send(output, line);
    BOOST_TEST(output.dropped() > 0u);
    const auto text = received();
    BOOST_TEST(text.size() > 1000u);
    send(output, "event=after");
    const auto rest = received();
    BOOST_TEST((text + rest).find("event=after") != std::string::npos);
    BOOST_TEST((text + rest).ends_with('\n'));
}

BOOST_AUTO_TEST_SUITE_END()
