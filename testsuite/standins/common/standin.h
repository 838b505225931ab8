#pragma once

#include "bulrushstack/kernel/settings.h"
#include "bulrushstack/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack::standins {

enum class FaultAction {
    Delay, ///< wait, then go on
    Drop, ///< ignore the message, close the connection
    Crash, ///< end the process at once
    Refuse, ///< answer 503 with X-Not-Started: 1
    LoseAnswer, ///< do the work, then close the connection without an answer
    Cut, ///< close the connection in the middle of the answer
    Mute, ///< keep the connection open and send nothing more
};

/// A fault that is armed at a named point.
struct Fault {
    std::string point;
    FaultAction action = FaultAction::Delay;
    unsigned count = 1; ///< how often it strikes
    std::chrono::milliseconds delay {};
    std::string match; ///< strikes only where the subject contains this text; empty: everywhere
};

/// What a stand-in has executed, in order, and the faults that are armed.
class StandinState {
public:
    /// Appends a JSON line to the execution log; adds the field "n", counted from 1.
    void log(nlohmann::json entry);

    const std::vector<nlohmann::json>& entries() const { return m_entries; }

    /// Returns the fault armed at the point for the subject, and uses it up once.
    std::optional<Fault> consumeFault(std::string_view point, std::string_view subject = {});

    void arm(Fault fault);
    void disarmAll();

private:
    std::vector<nlohmann::json> m_entries;
    std::vector<Fault> m_faults;
};

/// Waits for the delay of a fault, or ends the process for Crash. Returns the action that remains for the caller.
boost::asio::awaitable<std::optional<FaultAction>> applyDelayOrCrash(std::optional<Fault> fault);

/// Waits without answering until the client closes the connection.
boost::asio::awaitable<void> waitForClientClose(HttpExchange& exchange);

/// Handler of the fault port: POST /faults, DELETE /faults, GET /log. Other requests go to handleControl().
class FaultPort : public HttpHandler {
public:
    explicit FaultPort(StandinState& state)
        : m_state(state)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) final;

protected:
    /// Answers requests of the stand-in's own control interface; the default is 404.
    virtual HttpResponse handleControl(const HttpRequest& request);

private:
    HttpResponse makeResponse(const HttpRequest& request);

    StandinState& m_state;
};

/// Settings that every stand-in has: --listen-address and --fault-address.
std::vector<SettingSpec> commonStandinSettings();

/// Parses the command line; on an error or --help prints and exits.
Settings parseStandinSettings(const std::string& program, std::vector<SettingSpec> specs, int argc, char** argv);

/// Serves both listeners until SIGTERM or SIGINT; returns the exit status.
int serve(boost::asio::io_context& context, const Settings& settings, HttpHandler& handler, FaultPort& faultPort);

} // namespace bulrushstack::standins
