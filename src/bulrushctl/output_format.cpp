#include "output_format.h"

#include "bulrushstack/config/configuration_json.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using Lines = std::vector<std::string>;
using Rows = std::vector<std::vector<std::string>>;

Lines splitLines(const std::string& text)
{
    Lines out;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find('\n', begin), text.size());
        out.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return out;
}

std::string prefixLines(char prefix, const Lines& lines, std::size_t begin, std::size_t end)
{
    std::string out;
    for (auto i = begin; i < end; ++i)
        out += std::string(1, prefix) + " " + lines[i] + "\n";
    return out;
}

/// Returns a table whose cell [i][j] is the length of the longest common subsequence of the lines of `a` from i on and
/// the lines of `b` from j on.
std::vector<std::vector<std::uint32_t>> commonSubsequenceLengths(const Lines& a, const Lines& b)
{
    std::vector<std::vector<std::uint32_t>> out(a.size() + 1, std::vector<std::uint32_t>(b.size() + 1));
    for (auto i = a.size(); i-- > 0;) {
        for (auto j = b.size(); j-- > 0;)
            out[i][j] = a[i] == b[j] ? out[i + 1][j + 1] + 1 : std::max(out[i + 1][j], out[i][j + 1]);
    }
    return out;
}

/// Returns a string without quotes, and any other value as JSON.
std::string formatValue(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string joinValues(const nlohmann::json& array)
{
    std::string out;
    for (const auto& it : array)
        out += (out.empty() ? "" : ",") + formatValue(it);
    return out.empty() ? "-" : out;
}

std::string joinPairs(const nlohmann::json& object)
{
    std::string out;
    for (const auto& [key, value] : object.items())
        out += (out.empty() ? "" : ",") + key + "=" + formatValue(value);
    return out.empty() ? "-" : out;
}

std::string formatMember(const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    return it == object.end() || it->is_null() ? "-" : formatValue(*it);
}

nlohmann::json memberOr(const nlohmann::json& object, const char* name, const nlohmann::json& fallback)
{
    return object.is_object() && object.contains(name) ? object.at(name) : fallback;
}

std::vector<std::string> tableHeader(std::string_view section)
{
    if (section == "templates")
        return { "NAME", "MODELS", "SERVICES", "PARAMETERS", "SHARE" };
    if (section == "teams")
        return { "NAME", "TEMPLATE", "PARAMETERS", "TOKENS" };
    if (section == "models")
        return { "NAME", "KIND", "BASE", "VERSION", "SIZE" };
    return { "NAME", "STATUS PATH", "CHECKS FENCING" };
}

std::vector<std::string> tableRow(std::string_view section, const std::string& name, const nlohmann::json& value)
{
    const auto emptyArray = nlohmann::json::array();
    if (section == "templates")
        return { name, joinValues(memberOr(value, "models", emptyArray)),
            joinValues(memberOr(value, "services", emptyArray)),
            joinPairs(memberOr(value, "parameters", nlohmann::json::object())), formatMember(value, "share") };
    if (section == "teams")
        return { name, formatMember(value, "template"),
            joinPairs(memberOr(value, "parameters", nlohmann::json::object())),
            std::to_string(memberOr(value, "token_sha256", emptyArray).size()) };
    if (section == "models")
        return { name, formatMember(value, "kind"), formatMember(value, "base"), formatMember(value, "version"),
            formatMember(value, "size") };
    return { name, formatMember(value, "status_path"), formatMember(value, "checks_fencing") };
}

std::string describeObjects(const ConfigurationRecord& record)
{
    std::string out;
    for (const auto& [kind, name] : record.objects)
        out += (out.empty() ? "" : ", ") + kind + " " + name;
    return out;
}

/// Returns whether one of the competing changes edited the same object.
bool hasCompetingChange(const ConfigurationEdit& edit, const std::vector<ConfigurationRecord>& competing)
{
    const std::pair<std::string, std::string> object { edit.kind, edit.name };
    return std::any_of(competing.begin(), competing.end(), [&](const auto& record) {
        return std::find(record.objects.begin(), record.objects.end(), object) != record.objects.end();
    });
}

} // namespace

std::string formatTable(const Rows& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + (i + 1 < row.size() ? std::string(widths[i] - row[i].size() + 2, ' ') : "");
        out += line + "\n";
    }
    return out;
}

std::string formatDiff(const std::string& before, const std::string& after)
{
    // Limits the table of lengths to about 16 MB. Larger texts are shown as completely replaced.
    static constexpr std::size_t maxTableCells = 4'000'000;
    if (before == after)
        return {};
    const auto a = splitLines(before);
    const auto b = splitLines(after);
    if (a.size() * b.size() > maxTableCells)
        return prefixLines('-', a, 0, a.size()) + prefixLines('+', b, 0, b.size());
    const auto lengths = commonSubsequenceLengths(a, b);
    std::string out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() && j < b.size()) {
        if (a[i] == b[j]) {
            out += "  " + a[i++] + "\n";
            ++j;
        } else if (lengths[i + 1][j] >= lengths[i][j + 1]) {
            out += "- " + a[i++] + "\n";
        } else {
            out += "+ " + b[j++] + "\n";
        }
    }
    return out + prefixLines('-', a, i, a.size()) + prefixLines('+', b, j, b.size());
}

std::string formatObjectDiff(const nlohmann::json& before, const nlohmann::json& after)
{
    static constexpr int indent = 2;
    const auto text
        = [](const nlohmann::json& value) { return value.is_null() ? std::string() : value.dump(indent) + "\n"; };
    return formatDiff(text(before), text(after));
}

std::string formatProblems(const std::vector<ValidationError>& problems)
{
    std::string out;
    for (const auto& it : problems)
        out += it.path + ": '" + it.value + "' is not permitted; expected " + it.permitted + "\n";
    return out;
}

std::string formatConflict(const std::vector<ConfigurationRecord>& competing,
    const std::vector<ConfigurationEdit>& edits, const nlohmann::json& document)
{
    std::string out;
    for (const auto& it : competing)
        out += "conflict: revision " + std::to_string(it.revision) + " by " + it.author + " at " + it.acceptedAt
            + " changed " + describeObjects(it) + "\n";
    for (const auto& edit : edits) {
        if (!hasCompetingChange(edit, competing))
            continue;
        const auto section
            = memberOr(document, std::string(sectionOfKind(edit.kind)).c_str(), nlohmann::json::object());
        const auto current = memberOr(section, edit.name.c_str(), nullptr);
        out += edit.kind + " " + edit.name + ", - in force, + sent:\n"
            + formatObjectDiff(current, edit.value.value_or(nullptr));
    }
    return out;
}

std::string formatObjects(std::string_view section, const nlohmann::json& document)
{
    Rows rows { tableHeader(section) };
    const auto objects = memberOr(document, std::string(section).c_str(), nlohmann::json::object());
    for (const auto& [name, value] : objects.items())
        rows.push_back(tableRow(section, name, value));
    return formatTable(rows);
}

std::string formatHistory(const std::vector<ConfigurationRecord>& records)
{
    Rows rows { { "REVISION", "TIME", "AUTHOR", "CHANGE", "OBJECTS" } };
    for (const auto& it : records)
        rows.push_back({ std::to_string(it.revision), it.acceptedAt, it.author, it.changeId, describeObjects(it) });
    return formatTable(rows);
}

std::string formatStatus(const nlohmann::json& status)
{
    std::string out = "instance " + formatMember(status, "instance") + " zone " + formatMember(status, "zone")
        + " version " + formatMember(status, "version") + " ready " + formatMember(status, "ready") + " revision "
        + formatMember(status, "revision") + "\n";
    const auto unmet = memberOr(status, "unmet", nlohmann::json::array());
    for (const auto& it : unmet)
        out += "not ready: " + formatValue(it) + "\n";
    Rows peers { { "PEER", "ZONE", "STATE", "REVISION", "AGE MS" } };
    const auto peerList = memberOr(status, "peers", nlohmann::json::array());
    for (const auto& it : peerList)
        peers.push_back({ formatMember(it, "id"), formatMember(it, "zone"), formatMember(it, "state"),
            formatMember(it, "revision"), formatMember(it, "age_ms") });
    Rows upstreams { { "UPSTREAM", "ROLE", "ZONE", "STATE", "IN FLIGHT", "MODELS" } };
    const auto upstreamList = memberOr(status, "upstreams", nlohmann::json::array());
    for (const auto& it : upstreamList)
        upstreams.push_back(
            { formatMember(it, "id"), formatMember(it, "role"), formatMember(it, "zone"), formatMember(it, "state"),
                formatMember(it, "in_flight"), joinValues(memberOr(it, "models", nlohmann::json::array())) });
    return out + "\n" + formatTable(peers) + "\n" + formatTable(upstreams);
}

bool isInstanceListRecent(const nlohmann::json& status, std::chrono::nanoseconds maxAge)
{
    if (!status.is_object() || !status.contains("instances_age_ms"))
        return true;
    const auto& age = status.at("instances_age_ms");
    const auto maxMilliseconds = std::chrono::floor<std::chrono::milliseconds>(maxAge).count();
    return age.is_number_unsigned() && maxMilliseconds >= 0
        && age.get<std::uint64_t>() <= static_cast<std::uint64_t>(maxMilliseconds);
}

std::vector<std::string> laggingInstances(const nlohmann::json& status, std::uint64_t revision)
{
    std::vector<std::string> out;
    const auto check = [&](const nlohmann::json& instance, const char* idField) {
        const auto reported = memberOr(instance, "revision", 0);
        if (!reported.is_number_unsigned() || reported.get<std::uint64_t>() < revision)
            out.push_back(formatMember(instance, idField) + " at revision " + formatValue(reported));
    };
    check(status, "instance");
    const auto peers = memberOr(status, "peers", nlohmann::json::array());
    for (const auto& it : peers) {
        if (formatMember(it, "state") == "live")
            check(it, "id");
    }
    return out;
}

} // namespace bulrushstack
