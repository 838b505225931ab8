#pragma once

#include "command.h"
#include "operator_client.h"

#include <iosfwd>

namespace bulrushstack {

struct EditSet;

/// Where the program reads and writes.
struct ProgramStreams {
    std::istream& input;
    std::ostream& output;
    std::ostream& errors;
};

struct ProgramOptions {
    bool isJson = false;
    bool isWaiting = false;
    std::chrono::nanoseconds waitTimeout {};
    std::string author;
    std::string templateName; ///< of the team to create; empty: the operand is a file
    std::vector<std::string> parameters;
};

/// Carries out one command through the operator API of one instance.
class Program {
public:
    Program(OperatorClient& client, ProgramOptions options, ProgramStreams streams);

    boost::asio::awaitable<ExitStatus> run(Command command);

private:
    using Lookup = std::optional<nlohmann::json>;

    boost::asio::awaitable<ExitStatus> showStatus();
    boost::asio::awaitable<ExitStatus> showConfiguration();
    boost::asio::awaitable<ExitStatus> showObjects(std::string section);
    boost::asio::awaitable<ExitStatus> showObject(std::string section, std::string name);
    boost::asio::awaitable<ExitStatus> showDiff(std::string section, std::string name, std::string file);
    boost::asio::awaitable<ExitStatus> showHistory(std::string kind, std::string name);
    boost::asio::awaitable<ExitStatus> applyFile(std::string file, std::string section);
    boost::asio::awaitable<ExitStatus> createTeam(std::string operand);
    boost::asio::awaitable<ExitStatus> deleteTeam(std::string name);
    boost::asio::awaitable<ExitStatus> apply(EditSet edits, nlohmann::json document, std::string token);
    boost::asio::awaitable<ExitStatus> reportAccepted(std::uint64_t revision, std::string changeId, std::string token);
    boost::asio::awaitable<ExitStatus> reportConflict(nlohmann::json body, ConfigurationChange change);

    /// Returns the body of a GET; an empty optional after the failure was reported and m_status set.
    boost::asio::awaitable<Lookup> fetch(std::string target);
    Lookup readFile(const std::string& path);
    ExitStatus fail(ExitStatus status, const std::string& message);
    ExitStatus reportRefusal(const OperatorAnswer& answer);
    ExitStatus reportUncertain(
        const Result<OperatorAnswer>& answer, const std::string& changeId, const std::string& token);
    ExitStatus print(const nlohmann::json& document, const std::string& table);

    OperatorClient& m_client;
    ProgramOptions m_options;
    ProgramStreams m_streams;
    ExitStatus m_status = ExitStatus::Success;
};

} // namespace bulrushstack
