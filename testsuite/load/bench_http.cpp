#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_client.h"
#include "samples.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <iostream>

using namespace bulrushstack;
using namespace bulrushstack::load;

namespace {

std::vector<SettingSpec> benchSettings()
{
    return {
        { .name = "direct-address",
            .kind = SettingKind::Address,
            .help = "address for direct calls",
            .required = true },
        { .name = "through-address",
            .kind = SettingKind::Address,
            .help = "address of the proxy to compare with",
            .required = true },
        { .name = "direct-target", .defaultValue = "/", .help = "path and query of direct calls" },
        { .name = "through-target", .defaultValue = "/", .help = "path and query of calls through the proxy" },
        { .name = "method", .defaultValue = "GET", .help = "method of all calls" },
        { .name = "body", .help = "body of all calls, as application/json" },
        { .name = "token", .help = "bearer token of calls through the proxy", .secret = true },
        { .name = "fresh-key",
            .kind = SettingKind::Flag,
            .defaultValue = "false",
            .help = "send a new Idempotency-Key header with each call" },
        { .name = "rounds",
            .kind = SettingKind::Count,
            .defaultValue = "1000",
            .help = "number of measured calls to each address",
            .minimum = "1",
            .maximum = "100000" },
        { .name = "warm-up",
            .kind = SettingKind::Count,
            .defaultValue = "50",
            .help = "number of initial rounds that are not measured",
            .maximum = "10000" },
        { .name = "call-timeout",
            .kind = SettingKind::Duration,
            .defaultValue = "5s",
            .help = "timeout of one call",
            .maximum = "60s" },
        { .name = "time-limit",
            .kind = SettingKind::Duration,
            .defaultValue = "60s",
            .help = "time after which no further round starts",
            .maximum = "1h" },
    };
}

/// One of the two compared addresses, with its request and its results.
struct MeasuredTarget {
    std::string name;
    Address address;
    HttpRequest request;
    Samples samples;
    std::uint64_t failures = 0; ///< calls that failed or returned a status other than 2xx; these have no sample
};

/// Compares the latency of direct HTTP calls with that of calls through a proxy.
class LatencyComparison {
public:
    explicit LatencyComparison(const Settings& settings)
        : m_settings(settings)
    {
        m_targets[0] = makeTarget("direct");
        m_targets[1] = makeTarget("through");
        if (settings.isSet("token"))
            m_targets[1].request.headers.set("Authorization", "Bearer " + settings.text("token"));
    }

    /// Calls both addresses once per round. The order alternates between rounds, so that effects of the order cancel
    /// out.
    boost::asio::awaitable<void> run()
    {
        const auto warmUp = m_settings.count("warm-up");
        const auto rounds = warmUp + m_settings.count("rounds");
        const auto end = m_clock.now() + m_settings.duration("time-limit");
        for (std::uint64_t i = 0; i < rounds && m_clock.now() < end; ++i) {
            co_await call(m_targets[i % 2], i >= warmUp);
            co_await call(m_targets[(i + 1) % 2], i >= warmUp);
        }
    }

    void print() const
    {
        for (const auto& it : m_targets) {
            std::cout << it.name << ": calls=" << it.samples.count() << " failures=" << it.failures
                      << " median_ms=" << toMilliseconds(it.samples.percentile(50))
                      << " p99_ms=" << toMilliseconds(it.samples.percentile(99)) << "\n";
        }
        std::cout << "difference: median_ms=" << difference(50) << " p99_ms=" << difference(99) << "\n";
    }

    /// Returns whether both addresses have samples and no measured call failed.
    bool isComplete() const
    {
        return std::all_of(m_targets.begin(), m_targets.end(),
            [](const MeasuredTarget& measured) { return measured.samples.count() > 0 && measured.failures == 0; });
    }

    boost::asio::io_context& context() { return m_context; }

private:
    MeasuredTarget makeTarget(const std::string& name) const
    {
        MeasuredTarget measured;
        measured.name = name;
        measured.address = m_settings.address(name + "-address");
        if (!boost::asio::ip::make_address(measured.address.host).is_loopback())
            throw std::runtime_error("--" + name + "-address must be on the loopback interface");
        measured.request.method = m_settings.text("method");
        measured.request.target = m_settings.text(name + "-target");
        measured.request.body = m_settings.text("body");
        if (!measured.request.body.empty())
            measured.request.headers.set("Content-Type", "application/json");
        return measured;
    }

    boost::asio::awaitable<void> call(MeasuredTarget& measured, bool isMeasured)
    {
        auto request = measured.request;
        if (m_settings.text("fresh-key") == "true")
            request.headers.set("Idempotency-Key", randomId());
        const auto begin = m_clock.now();
        HttpCallOptions options;
        options.deadline = begin + m_settings.duration("call-timeout");
        auto response = co_await m_client.call(measured.address, std::move(request), options);
        const auto duration = m_clock.now() - begin;
        if (!isMeasured)
            co_return;
        if (response && response->status / 100 == 2)
            measured.samples.add(duration);
        else
            ++measured.failures;
    }

    double difference(unsigned percent) const
    {
        return toMilliseconds(m_targets[1].samples.percentile(percent) - m_targets[0].samples.percentile(percent));
    }

    const Settings& m_settings;
    SystemClock m_clock;
    boost::asio::io_context m_context;
    HttpClient m_client { m_context, m_clock };
    std::array<MeasuredTarget, 2> m_targets;
};

} // namespace

int main(int argc, char** argv)
{
    const auto specs = benchSettings();
    const auto outcome = parseSettings(specs, { argv + 1, argv + argc }, {});
    if (!outcome.settings) {
        std::cerr << "bench_http: " << outcome.error << "\n";
        return 2;
    }
    if (outcome.settings->action() != SettingsAction::Run) {
        std::cout << formatHelp(
            "bench_http", "Compares the latency of direct HTTP calls with calls through a proxy.", specs);
        return 0;
    }
    try {
        LatencyComparison comparison(*outcome.settings);
        runAwaitable(comparison.context(), comparison.run());
        comparison.print();
        return comparison.isComplete() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "bench_http: " << error.what() << "\n";
        return 1;
    }
}
