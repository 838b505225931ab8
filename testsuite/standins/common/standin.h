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

/// What an injected fault does to a request or a connection.
enum class FaultAction {
    Delay, ///< wait for the delay of the fault, then continue normally
    Drop, ///< close the connection without executing the request
    Crash, ///< exit the process immediately with status 3
    Refuse, ///< respond with status 503 and `X-Not-Started: 1`
    LoseAnswer, ///< execute the request, then close the connection without a response
    Cut, ///< execute the request, then close the connection in the middle of the response
    Mute, ///< keep the connection open and send nothing more
};

/// A fault to inject at a named point of request processing.
struct Fault {
    std::string point;
    FaultAction action = FaultAction::Delay;
    unsigned count = 1; ///< number of times the fault is injected
    std::chrono::milliseconds delay {}; ///< wait before the action is applied
    std::string match; ///< the fault applies only to subjects that contain this text; empty: to all
};

/// Execution log of a stand-in, in order of execution, and its armed faults. For use on one thread only.
class StandinState {
public:
    /// Appends an entry to the execution log and numbers it from 1 in the field "n".
    void log(nlohmann::json entry);

    const std::vector<nlohmann::json>& entries() const { return m_entries; }

    /// Returns the first armed fault that applies to the point and the subject, and decrements its remaining count.
    /// Returns an empty optional if no fault applies.
    std::optional<Fault> consumeFault(std::string_view point, std::string_view subject = {});

    void arm(Fault fault);
    void disarmAll();

private:
    std::vector<nlohmann::json> m_entries;
    std::vector<Fault> m_faults;
};

/// Waits for the delay of the fault, then exits the process if its action is Crash. Returns the action that the caller
/// must apply; empty without a fault and for Delay.
boost::asio::awaitable<std::optional<FaultAction>> applyDelayOrCrash(std::optional<Fault> fault);

/// Completes when the client has closed the connection. Sends nothing.
boost::asio::awaitable<void> waitForClientClose(HttpExchange& exchange);

/// HTTP handler of the control port of a stand-in. POST /faults arms a fault, and DELETE /faults disarms all faults.
/// GET /log returns the execution log as JSON lines. Passes all other requests to handleControl().
class FaultPort : public HttpHandler {
public:
    explicit FaultPort(StandinState& state)
        : m_state(state)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) final;

protected:
    /// Handles control requests that are specific to one stand-in. The default implementation responds with 404.
    virtual HttpResponse handleControl(const HttpRequest& request);

private:
    HttpResponse makeResponse(const HttpRequest& request);

    StandinState& m_state;
};

/// Returns the settings shared by all stand-ins: --listen-address and --fault-address.
std::vector<SettingSpec> commonStandinSettings();

/// Parses the command line. Prints the error and exits with status 2 if it is invalid; prints the help and exits with
/// status 0 for --help. Also initializes glog to write to stderr.
Settings parseStandinSettings(const std::string& program, std::vector<SettingSpec> specs, int argc, char** argv);

/// Runs the servers of both addresses until SIGTERM or SIGINT. Returns the exit status of the process: 1 if an address
/// cannot be bound.
int serve(boost::asio::io_context& context, const Settings& settings, HttpHandler& handler, FaultPort& faultPort);

} // namespace bulrushstack::standins
