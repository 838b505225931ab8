#include "command_runner.h"

#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/ids.h"
#include "edits.h"
#include "output_format.h"

#include <fstream>
#include <istream>
#include <ostream>

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

constexpr int indent = 2;
constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnprocessable = 422;

std::vector<ConfigurationRecord> parseRecords(const nlohmann::json& array)
{
    std::vector<ConfigurationRecord> out;
    for (const auto& it : array) {
        if (auto record = recordFromJson(it))
            out.push_back(std::move(*record));
    }
    return out;
}

nlohmann::json findObject(const nlohmann::json& document, const std::string& section, const std::string& name)
{
    const auto objects
        = document.is_object() ? document.value(section, nlohmann::json::object()) : nlohmann::json::object();
    return objects.is_object() ? objects.value(name, nlohmann::json()) : nlohmann::json();
}

std::uint64_t readRevision(const nlohmann::json& document)
{
    const auto revision = document.is_object() ? document.value("revision", nlohmann::json()) : nlohmann::json();
    return revision.is_number_unsigned() ? revision.get<std::uint64_t>() : 0;
}

std::string readString(const nlohmann::json& body, const char* member)
{
    const auto value = body.is_object() ? body.value(member, nlohmann::json()) : nlohmann::json();
    return value.is_string() ? value.get<std::string>() : std::string();
}

/// Returns whether the record edits an object of the kind and name. An empty kind or name matches any.
bool editsObject(const ConfigurationRecord& record, const std::string& kind, const std::string& name)
{
    for (const auto& [objectKind, objectName] : record.objects) {
        if ((kind.empty() || objectKind == kind) && (name.empty() || objectName == name))
            return true;
    }
    return false;
}

} // namespace

CommandRunner::CommandRunner(OperatorClient& client, CommandOptions options, CommandStreams streams)
    : m_client(client)
    , m_options(std::move(options))
    , m_streams(streams)
{
}

asio::awaitable<ExitStatus> CommandRunner::run(Command command)
{
    command.operands.resize(2);
    const auto& verb = command.verb;
    const auto firstOperand = command.operands[0];
    const auto secondOperand = command.operands[1];
    const auto section = std::string(sectionOfKind(command.noun));
    const std::string kind
        = section.empty() ? std::string() : command.noun; // empty for "config", which includes all kinds
    if (command.noun == "status")
        co_return co_await showStatus();
    if (verb == "history")
        co_return co_await showHistory(kind, firstOperand);
    if (verb == "apply")
        co_return co_await applyFile(firstOperand, section);
    if (command.noun == "config")
        co_return co_await showConfiguration();
    if (verb == "list")
        co_return co_await showObjects(section);
    if (verb == "show")
        co_return co_await showObject(section, firstOperand);
    if (verb == "diff")
        co_return co_await showDiff(section, firstOperand, secondOperand);
    if (verb == "create")
        co_return co_await createTeam(firstOperand);
    co_return co_await deleteTeam(firstOperand);
}

ExitStatus CommandRunner::reportError(ExitStatus status, const std::string& message)
{
    m_streams.errors << "bulrushctl: " << message << "\n";
    m_status = status;
    return status;
}

ExitStatus CommandRunner::print(const nlohmann::json& document, const std::string& text)
{
    m_streams.output << (m_options.isJson ? document.dump(indent) + "\n" : text);
    return ExitStatus::Success;
}

asio::awaitable<CommandRunner::OptionalJson> CommandRunner::fetch(std::string target)
{
    auto response = co_await m_client.get(std::move(target));
    if (!response)
        reportError(ExitStatus::Unreachable, "cannot reach the instance: " + response.error().detail);
    else if (response->status != statusOk)
        reportErrorResponse(*response);
    else
        co_return std::move(response->body);
    co_return std::nullopt;
}

CommandRunner::OptionalJson CommandRunner::readJsonFile(const std::string& path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            reportError(ExitStatus::Failed, "cannot read file '" + path + "'");
            return std::nullopt;
        }
    }
    try {
        return nlohmann::json::parse(path == "-" ? m_streams.input : file);
    } catch (const nlohmann::json::exception& e) {
        reportError(ExitStatus::Failed, "file '" + path + "' is not JSON: " + e.what());
        return std::nullopt;
    }
}

asio::awaitable<ExitStatus> CommandRunner::showStatus()
{
    const auto status = co_await fetch("/operator/v1/status");
    co_return status ? print(*status, formatStatus(*status)) : m_status;
}

asio::awaitable<ExitStatus> CommandRunner::showConfiguration()
{
    const auto document = co_await fetch("/operator/v1/config");
    co_return document ? print(*document, document->dump(indent) + "\n") : m_status;
}

asio::awaitable<ExitStatus> CommandRunner::showObjects(std::string section)
{
    const auto document = co_await fetch("/operator/v1/config");
    if (!document)
        co_return m_status;
    co_return print(document->value(section, nlohmann::json::object()), formatObjects(section, *document));
}

/// Prints an object in the format of the files for "apply", with the current revision as the base of later edits.
asio::awaitable<ExitStatus> CommandRunner::showObject(std::string section, std::string name)
{
    const auto document = co_await fetch("/operator/v1/config");
    if (!document)
        co_return m_status;
    const auto object = findObject(*document, section, name);
    if (object.is_null())
        co_return reportError(ExitStatus::Failed, "there is no '" + name + "' in " + section);
    nlohmann::json shown { { "revision", readRevision(*document) } };
    shown[section][name] = object;
    co_return print(shown, shown.dump(indent) + "\n");
}

asio::awaitable<ExitStatus> CommandRunner::showDiff(std::string section, std::string name, std::string file)
{
    const auto content = readJsonFile(file);
    if (!content)
        co_return m_status;
    const auto edits = parseFileEdits(*content, section);
    if (!edits.error.empty())
        co_return reportError(ExitStatus::Failed, edits.error);
    if (!content->contains(section) || !content->at(section).contains(name))
        co_return reportError(ExitStatus::Failed, "the file does not contain '" + name + "' in " + section);
    const auto document = co_await fetch("/operator/v1/config");
    if (!document)
        co_return m_status;
    const auto before = findObject(*document, section, name);
    const auto& after = content->at(section).at(name);
    co_return print(nlohmann::json::diff(before, after), formatObjectDiff(before, after));
}

asio::awaitable<ExitStatus> CommandRunner::showHistory(std::string kind, std::string name)
{
    const auto body = co_await fetch("/operator/v1/history?limit=1000");
    if (!body)
        co_return m_status;
    auto records = parseRecords(*body);
    std::erase_if(records, [&](const auto& it) { return !editsObject(it, kind, name); });
    auto shown = nlohmann::json::array();
    for (const auto& it : records)
        shown.push_back(toJson(it));
    co_return print(shown, formatHistory(records));
}

asio::awaitable<ExitStatus> CommandRunner::applyFile(std::string file, std::string section)
{
    const auto content = readJsonFile(file);
    if (!content)
        co_return m_status;
    auto edits = parseFileEdits(*content, section);
    if (!edits.error.empty())
        co_return reportError(ExitStatus::Failed, edits.error);
    nlohmann::json document;
    if (!edits.baseRevision) {
        auto fetched = co_await fetch("/operator/v1/config");
        if (!fetched)
            co_return m_status;
        document = std::move(*fetched);
    }
    co_return co_await submitEdits(std::move(edits), std::move(document), std::string());
}

asio::awaitable<ExitStatus> CommandRunner::createTeam(std::string operand)
{
    EditParseResult edits;
    std::string token;
    if (m_options.templateName.empty()) {
        const auto content = readJsonFile(operand);
        if (!content)
            co_return m_status;
        edits = parseFileEdits(*content, "teams");
    } else {
        token = randomId() + randomId();
        edits = makeNewTeamEdits(operand, m_options.templateName, m_options.parameters, sha256Hex(token));
    }
    if (!edits.error.empty())
        co_return reportError(m_options.templateName.empty() ? ExitStatus::Failed : ExitStatus::Usage, edits.error);
    auto document = co_await fetch("/operator/v1/config");
    if (!document)
        co_return m_status;
    for (const auto& it : edits.edits) {
        if (!findObject(*document, "teams", it.name).is_null())
            co_return reportError(ExitStatus::Failed, "team '" + it.name + "' already exists");
    }
    co_return co_await submitEdits(std::move(edits), std::move(*document), std::move(token));
}

asio::awaitable<ExitStatus> CommandRunner::deleteTeam(std::string name)
{
    auto document = co_await fetch("/operator/v1/config");
    if (!document)
        co_return m_status;
    EditParseResult edits;
    edits.edits.push_back({ .kind = "team", .name = std::move(name), .value = std::nullopt });
    co_return co_await submitEdits(std::move(edits), std::move(*document), {});
}

/// Sends the edits. Their base revision is the one named in the file, otherwise that of the fetched document.
asio::awaitable<ExitStatus> CommandRunner::submitEdits(
    EditParseResult edits, nlohmann::json document, std::string token)
{
    ConfigurationChange change;
    change.changeId = randomId();
    change.author = m_options.author;
    change.baseRevision = edits.baseRevision.value_or(readRevision(document));
    change.edits = std::move(edits.edits);
    auto response = co_await m_client.sendChange(change);
    if (!response)
        co_return reportUnknownOutcome(response, change.changeId, token);
    if (response->status == statusOk)
        co_return co_await reportAccepted(readRevision(response->body), change.changeId, std::move(token));
    if (response->status == statusConflict)
        co_return co_await reportConflict(response->body, std::move(change));
    if (response->status >= 500)
        co_return reportUnknownOutcome(response, change.changeId, token);
    co_return reportErrorResponse(*response);
}

asio::awaitable<ExitStatus> CommandRunner::reportAccepted(
    std::uint64_t revision, std::string changeId, std::string token)
{
    std::vector<std::string> lagging;
    nlohmann::json document { { "revision", revision }, { "change_id", changeId } };
    std::string text = "accepted revision " + std::to_string(revision) + " change " + changeId + "\n";
    if (!token.empty()) {
        document["token"] = token;
        text += "token " + token + " (not stored anywhere; shown only once)\n";
    }
    if (m_options.shouldWait) {
        lagging = co_await m_client.waitForRevision(revision, m_options.waitTimeout);
        document["in_force"] = lagging.empty();
        text += lagging.empty() ? "in force on all live instances\n" : "";
    }
    print(document, text);
    if (lagging.empty())
        co_return ExitStatus::Success;
    std::string names;
    for (const auto& it : lagging)
        names += (names.empty() ? "" : ", ") + it;
    co_return reportError(ExitStatus::WaitTimedOut,
        "revision " + std::to_string(revision) + " is accepted but not reported by: " + names);
}

asio::awaitable<ExitStatus> CommandRunner::reportConflict(nlohmann::json body, ConfigurationChange change)
{
    const auto competing
        = parseRecords(body.is_object() ? body.value("competing", nlohmann::json::array()) : nlohmann::json::array());
    auto document = co_await m_client.get("/operator/v1/config");
    const auto current = document && document->status == statusOk ? document->body : nlohmann::json::object();
    print(body, {});
    m_streams.errors << formatConflict(competing, change.edits, current);
    co_return reportError(ExitStatus::Conflict,
        "not accepted because of a conflict; fetch the objects again, redo the edits and apply them");
}

ExitStatus CommandRunner::reportErrorResponse(const OperatorResponse& response)
{
    if (response.status == statusUnprocessable) {
        print(response.body, {});
        const auto problems = validationErrorsFromJson(response.body);
        m_streams.errors << (problems ? formatProblems(*problems) : response.body.dump() + "\n");
        return reportError(ExitStatus::Failed, "not accepted; the resulting configuration would be invalid");
    }
    const auto title = readString(response.body, "title");
    return reportError(ExitStatus::Failed,
        "status " + std::to_string(response.status) + ": " + title + "; " + readString(response.body, "detail"));
}

/// Reports a change that failed or whose outcome is unknown. In the latter case the token of a new team is printed,
/// because the change may still take effect.
ExitStatus CommandRunner::reportUnknownOutcome(
    const Result<OperatorResponse>& response, const std::string& changeId, const std::string& token)
{
    const auto verdict = response ? parseVerdict(readString(response->body, "verdict")).value_or(Verdict::MayHaveRun)
                                  : response.error().verdict;
    const auto detail = response ? readString(response->body, "detail") : response.error().detail;
    const auto status = response ? ExitStatus::Failed : ExitStatus::Unreachable;
    if (verdict == Verdict::NotRun)
        return reportError(status, "not accepted: " + detail);
    if (!token.empty())
        m_streams.errors << "token " << token << " (valid if the change takes effect)\n";
    return reportError(
        status, "the outcome of change " + changeId + " is unknown; check bulrushctl config history: " + detail);
}

} // namespace bulrushstack
