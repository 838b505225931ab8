#include "standin.h"

#include <algorithm>
#include <array>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <glog/logging.h>
#include <iostream>
#include <unistd.h>
#include <utility>

namespace bulrushstack::standins {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr std::array<std::pair<std::string_view, FaultAction>, 7> actionNames { {
    { "delay", FaultAction::Delay },
    { "drop", FaultAction::Drop },
    { "crash", FaultAction::Crash },
    { "refuse", FaultAction::Refuse },
    { "lose-answer", FaultAction::LoseAnswer },
    { "cut", FaultAction::Cut },
    { "mute", FaultAction::Mute },
} };

std::optional<Fault> parseFault(const std::string& body)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.value("point", json()).is_string())
        return std::nullopt;
    const std::string action = document.value("action", "");
    const auto* it = std::find_if(
        actionNames.begin(), actionNames.end(), [&](const auto& entry) { return entry.first == action; });
    if (it == actionNames.end())
        return std::nullopt;
    return Fault {
        .point = document.at("point"),
        .action = it->second,
        .count = document.value("count", 1U),
        .delay = std::chrono::milliseconds(document.value("delay_ms", 0)),
        .match = document.value("match", ""),
    };
}

asio::awaitable<void> pause(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

void StandinState::log(json entry)
{
    entry["n"] = m_entries.size() + 1;
    m_entries.push_back(std::move(entry));
}

std::optional<Fault> StandinState::consumeFault(std::string_view point, std::string_view subject)
{
    for (auto& it : m_faults) {
        if (it.count == 0 || it.point != point || subject.find(it.match) == std::string_view::npos)
            continue;
        --it.count;
        return it;
    }
    return std::nullopt;
}

void StandinState::arm(Fault fault) { m_faults.push_back(std::move(fault)); }

void StandinState::disarmAll() { m_faults.clear(); }

asio::awaitable<std::optional<FaultAction>> applyDelayOrCrash(std::optional<Fault> fault)
{
    if (!fault)
        co_return std::nullopt;
    if (fault->delay.count() > 0)
        co_await pause(fault->delay);
    if (fault->action == FaultAction::Crash)
        ::_exit(3);
    if (fault->action == FaultAction::Delay)
        co_return std::nullopt;
    co_return fault->action;
}

asio::awaitable<void> waitForClientClose(HttpExchange& exchange)
{
    static constexpr std::chrono::milliseconds checkInterval { 20 };
    while (!exchange.isClientGone())
        co_await pause(checkInterval);
}

asio::awaitable<void> FaultPort::handle(HttpExchange& exchange)
{
    auto response = makeResponse(exchange.request());
    co_await exchange.respond(std::move(response));
}

HttpResponse FaultPort::makeResponse(const HttpRequest& request)
{
    if (request.path() == "/log" && request.method == "GET") {
        std::string text;
        for (const auto& it : m_state.entries())
            text += it.dump() + "\n";
        return jsonResponse(200, text);
    }
    if (request.path() == "/faults" && request.method == "DELETE") {
        m_state.disarmAll();
        return jsonResponse(200, "{}");
    }
    if (request.path() == "/faults" && request.method == "POST") {
        auto fault = parseFault(request.body);
        if (!fault)
            return jsonResponse(400, R"({"error":"a fault needs a point and a known action"})");
        m_state.arm(std::move(*fault));
        return jsonResponse(200, "{}");
    }
    return handleControl(request);
}

HttpResponse FaultPort::handleControl(const HttpRequest&) { return jsonResponse(404, R"({"error":"not found"})"); }

std::vector<SettingSpec> commonStandinSettings()
{
    return {
        { .name = "listen-address",
            .kind = SettingKind::Address,
            .help = "address that serves requests",
            .required = true },
        { .name = "fault-address",
            .kind = SettingKind::Address,
            .help = "address of the control port, which arms faults and returns the log",
            .required = true },
    };
}

Settings parseStandinSettings(const std::string& program, std::vector<SettingSpec> specs, int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const auto common = commonStandinSettings();
    specs.insert(specs.begin(), common.begin(), common.end());
    auto outcome = parseSettings(specs, { argv + 1, argv + argc }, {});
    if (!outcome.settings) {
        std::cerr << program << ": " << outcome.error << "\n";
        std::exit(2);
    }
    if (outcome.settings->action() != SettingsAction::Run) {
        std::cout << formatHelp(program, "A server that replaces a real dependency in tests.", specs);
        std::exit(0);
    }
    return *outcome.settings;
}

int serve(asio::io_context& context, const Settings& settings, HttpHandler& handler, FaultPort& faultPort)
{
    HttpServerOptions options;
    options.address = settings.address("listen-address");
    options.connectionLimit = 4096;
    HttpServer server(context, options, handler);
    HttpServerOptions faultOptions;
    faultOptions.address = settings.address("fault-address");
    HttpServer faultServer(context, faultOptions, faultPort);
    for (auto* it : { &server, &faultServer }) {
        if (auto ec = it->start()) {
            std::cerr << "cannot listen: " << ec.message() << "\n";
            return 1;
        }
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace bulrushstack::standins
