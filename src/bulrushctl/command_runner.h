#pragma once

#include "command.h"
#include "operator_client.h"

#include <iosfwd>

namespace bulrushstack {

struct EditParseResult;

/// Where the program reads and writes.
struct CommandStreams {
    std::istream& input;
    std::ostream& output;
    std::ostream& errors;
};

struct CommandOptions {
    bool isJson = false;
    bool shouldWait = false;
    std::chrono::nanoseconds waitTimeout {};
    std::string author;
    std::string templateName; ///< of the team to create; empty: the operand is a file
    std::vector<std::string> parameters;
};

/// Carries out one command through the operator API of one instance.
class CommandRunner {
public:
    CommandRunner(OperatorClient& client, CommandOptions options, CommandStreams streams);

    boost::asio::awaitable<ExitStatus> run(Command command);

private:
    using OptionalJson = std::optional<nlohmann::json>;

    boost::asio::awaitable<ExitStatus> showStatus();
    boost::asio::awaitable<ExitStatus> showConfiguration();
    boost::asio::awaitable<ExitStatus> showObjects(std::string section);
    boost::asio::awaitable<ExitStatus> showObject(std::string section, std::string name);
    boost::asio::awaitable<ExitStatus> showDiff(std::string section, std::string name, std::string file);
    boost::asio::awaitable<ExitStatus> showHistory(std::string kind, std::string name);
    boost::asio::awaitable<ExitStatus> applyFile(std::string file, std::string section);
    boost::asio::awaitable<ExitStatus> createTeam(std::string operand);
    boost::asio::awaitable<ExitStatus> deleteTeam(std::string name);
    boost::asio::awaitable<ExitStatus> submitEdits(EditParseResult edits, nlohmann::json document, std::string token);
    boost::asio::awaitable<ExitStatus> reportAccepted(std::uint64_t revision, std::string changeId, std::string token);
    boost::asio::awaitable<ExitStatus> reportConflict(nlohmann::json body, ConfigurationChange change);

    /// Returns the body of a GET; an empty optional after the failure was reported and m_status set.
    boost::asio::awaitable<OptionalJson> fetch(std::string target);
    OptionalJson readJsonFile(const std::string& path);
    ExitStatus reportError(ExitStatus status, const std::string& message);
    ExitStatus reportErrorResponse(const OperatorResponse& response);
    ExitStatus reportUnknownOutcome(
        const Result<OperatorResponse>& response, const std::string& changeId, const std::string& token);
    ExitStatus print(const nlohmann::json& document, const std::string& text);

    OperatorClient& m_client;
    CommandOptions m_options;
    CommandStreams m_streams;
    ExitStatus m_status = ExitStatus::Success;
};

} // namespace bulrushstack
