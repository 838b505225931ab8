#pragma once

#include "bulrushstack/net/http_client.h"
#include "load_summary.h"

#include <functional>

namespace bulrushstack::load {

/// Open-loop load generator: sends each planned request at its time, whether or not earlier ones were answered. Runs on
/// the thread of the io_context.
class LoadRunner {
public:
    /// Called with a line of text that reports the progress.
    using ProgressHandler = std::function<void(const std::string& line)>;

    /// The arguments must outlive the runner.
    LoadRunner(boost::asio::io_context& context, const Clock& clock, const Experiment& experiment);

    /// Sends all requests and waits until each has a response or has failed. Experiment::timeout bounds the wait.
    /// `planned` must be ordered by offset.
    boost::asio::awaitable<void> run(
        std::vector<PlannedRequest> planned, std::chrono::nanoseconds progressInterval, ProgressHandler progress);

    const LoadSummary& summary() const { return m_summary; }

    /// Returns the time from the start of the run to the end of its last request.
    std::chrono::nanoseconds elapsed() const { return m_end - m_start; }

private:
    boost::asio::awaitable<void> send(PlannedRequest planned);
    boost::asio::awaitable<RequestOutcome> execute(PlannedRequest planned, HttpCallOptions options);
    boost::asio::awaitable<void> sleepUntil(SteadyTime time);
    std::string progressLine() const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const Experiment& m_experiment;
    HttpClient m_client;
    LoadSummary m_summary;
    std::string m_runId;
    SteadyTime m_start {};
    SteadyTime m_end {};
    std::uint64_t m_sent = 0;
    std::size_t m_inFlight = 0;
};

} // namespace bulrushstack::load
