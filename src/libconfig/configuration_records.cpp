#include "configuration_records.h"

#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/ids.h"
#include "document_reader.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace bulrushstack {

namespace {

bool isIdCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-';
}

bool isChangeId(std::string_view text)
{
    static constexpr std::size_t limit = 128;
    return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), isIdCharacter);
}

bool isAuthor(std::string_view text)
{
    static constexpr std::size_t limit = 128;
    const auto isControl = [](unsigned char c) { return c < ' ' || c == 0x7f; };
    return !text.empty() && text.size() <= limit && std::none_of(text.begin(), text.end(), isControl);
}

} // namespace

std::string revisionKey(std::uint64_t revision)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%012llu", static_cast<unsigned long long>(revision));
    return revisionPrefix + buf.data();
}

std::string changeKey(std::string_view changeId) { return "change/" + std::string(changeId); }

nlohmann::json headToJson(const ConfigurationHead& head)
{
    return { { "revision", head.revision }, { "digest", head.digest } };
}

std::optional<ConfigurationHead> headFromJson(const nlohmann::json& value)
{
    try {
        return ConfigurationHead { .revision = value.at("revision").get<std::uint64_t>(),
            .digest = value.at("digest").get<std::string>() };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string contentDigest(const ConfigurationChange& change)
{
    auto content = toJson(change);
    content.erase("change_id");
    return sha256Hex(content.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
}

std::vector<ValidationError> validateChange(const ConfigurationChange& change)
{
    ValidationErrors errors;
    if (!isChangeId(change.changeId))
        errors.add("/change_id", change.changeId, "1 to 128 letters, digits, dots, underscores and hyphens");
    if (!isAuthor(change.author))
        errors.add("/author", change.author, "1 to 128 characters without control characters");
    if (change.edits.empty())
        errors.add("/edits", "(empty)", "at least one edit");
    std::set<std::pair<std::string, std::string>> seen;
    for (std::size_t i = 0; i < change.edits.size(); ++i) {
        const auto& edit = change.edits[i];
        const auto path = childPointer("/edits", std::to_string(i));
        if (sectionOfKind(edit.kind).empty())
            errors.add(path + "/kind", edit.kind, "template, team, model or service");
        if (!isObjectName(edit.name))
            errors.add(path + "/name", edit.name, std::string(objectNameRequirement));
        if (!seen.emplace(edit.kind, edit.name).second)
            errors.add(path + "/name", edit.name, "an object that no other edit of the change names");
    }
    return std::move(errors.list());
}

bool editsSameObject(const ConfigurationRecord& record, const ConfigurationChange& change)
{
    return std::any_of(change.edits.begin(), change.edits.end(), [&](const auto& edit) {
        const std::pair<std::string, std::string> object { edit.kind, edit.name };
        return std::find(record.objects.begin(), record.objects.end(), object) != record.objects.end();
    });
}

Result<ConfigurationPtr> verifyAndParse(const ConfigurationHead& head, std::string_view text)
{
    Failure failure {
        .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = "revision " + std::to_string(head.revision)
    };
    if (sha256Hex(text) != head.digest) {
        failure.detail += ": the document does not match its digest";
        return failure;
    }
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        failure.detail += ": the document is not JSON";
        return failure;
    }
    auto outcome = Configuration::parse(document);
    if (!outcome.configuration) {
        const auto& first = outcome.errors.front();
        failure.code = Errc::InvalidArgument;
        failure.detail += ": " + std::to_string(outcome.errors.size()) + " validation errors, the first at "
            + first.path + " \"" + first.value + "\", permitted: " + first.permitted;
        return failure;
    }
    if (outcome.configuration->revision() != head.revision || outcome.configuration->digest() != head.digest) {
        failure.detail += ": the document contains another revision or is not in canonical form";
        return failure;
    }
    return std::move(outcome.configuration);
}

std::string formatUtc(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf {};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { buf.data(), n };
}

nlohmann::json applyEdits(
    const nlohmann::json& document, const std::vector<ConfigurationEdit>& edits, std::uint64_t revision)
{
    auto out = document;
    out["revision"] = revision;
    for (const auto& edit : edits) {
        const auto section = sectionOfKind(edit.kind);
        // The validation of the document rejects "edits" as an unknown field.
        auto& objects = section.empty() ? out["edits"][edit.kind] : out[section];
        if (edit.value)
            objects[edit.name] = *edit.value;
        else if (!section.empty() && objects.is_object())
            objects.erase(edit.name);
    }
    return out;
}

} // namespace bulrushstack
