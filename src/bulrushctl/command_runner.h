#pragma once

#include "command.h"
#include "operator_client.h"

#include <iosfwd>

namespace bulrushstack {

struct EditParseResult;

/// Streams from which a command reads its input and to which it writes its output and its error messages.
struct CommandStreams {
    std::istream& input;
    std::ostream& output;
    std::ostream& errors;
};

/// Options of a command, taken from the settings of bulrushctl.
struct CommandOptions {
    bool isJson = false;
    bool shouldWait = false; ///< wait until all live instances report the accepted revision
    std::chrono::nanoseconds waitTimeout {};
    std::string author;
    std::string templateName; ///< template of the team to create; if empty, the team is read from a file
    std::vector<std::string> parameters; ///< KEY=VALUE texts of the team to create
};

/// Executes one command through the operator API of one instance.
class CommandRunner {
public:
    CommandRunner(OperatorClient& client, CommandOptions options, CommandStreams streams);

    /// Executes the command, prints its result or an error message, and returns the exit status of the program.
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

    /// Returns the body of a successful GET. On a failure reports the error, sets m_status and returns std::nullopt.
    boost::asio::awaitable<OptionalJson> fetch(std::string target);

    /// Reads a JSON file, or standard input if the path is "-". Handles failures as fetch() does.
    OptionalJson readJsonFile(const std::string& path);

    /// Prints the error message, stores the status in m_status and returns it.
    ExitStatus reportError(ExitStatus status, const std::string& message);
    ExitStatus reportErrorResponse(const OperatorResponse& response);
    ExitStatus reportUnknownOutcome(
        const Result<OperatorResponse>& response, const std::string& changeId, const std::string& token);

    /// Prints the document if JSON output was requested, otherwise the text.
    ExitStatus print(const nlohmann::json& document, const std::string& text);

    OperatorClient& m_client;
    CommandOptions m_options;
    CommandStreams m_streams;
    ExitStatus m_status = ExitStatus::Success; ///< status of the last reported error
};

} // namespace bulrushstack
