#include "template_reader.h"

#include "bulrushstack/kernel/settings.h"
#include "call_rules.h"

#include <algorithm>

namespace bulrushstack {

namespace {

constexpr std::string_view urgencyRequirement = "live, interactive or batch";
constexpr std::string_view deadlineRequirement = "a duration above zero, such as 250ms or 10s";
constexpr std::string_view methodRequirement = "an HTTP method in upper case, other than GET and HEAD";
constexpr std::string_view rulePathRequirement
    = "an absolute path without query, percent escapes, empty segments and dot segments";

class TemplateReader {
public:
    TemplateReader(const TemplateScope& scope, ValidationErrors& errors)
        : m_scope(scope)
        , m_errors(errors)
    {
    }

    Team read(const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_errors);
        if (!reader.isObject())
            return {};
        Team out;
        reader.find("parameters");
        out.models = readNames(reader, "models", m_scope.models);
        out.services = readNames(reader, "services", m_scope.services);
        if (const auto* urgency = reader.find("urgency", "an object with the fields default and permitted"))
            readUrgency(*urgency, reader.pathOf("urgency"), out);
        if (const auto* deadline = reader.find("deadline", "an object with the fields default and max"))
            readDeadline(*deadline, reader.pathOf("deadline"), out);
        out.neverRepeat = readRules(reader, "never_repeat");
        out.repeatable = readRules(reader, "repeatable");
        readShare(reader, out);
        reader.reportUnknownFields();
        return out;
    }

private:
    template <typename Map>
    std::set<std::string, std::less<>> readNames(ObjectReader& reader, std::string_view field, const Map& defined)
    {
        std::set<std::string, std::less<>> out;
        const auto permitted = "the name of one of the defined " + std::string(field) + ": " + listKeys(defined);
        const auto& names = reader.array(field, "an array of names of " + std::string(field));
        for (std::size_t i = 0; i < names.size(); ++i) {
            const auto path = childPointer(reader.pathOf(field), std::to_string(i));
            const auto isDefined = [&](const std::string& text) { return defined.contains(text); };
            if (auto name = m_errors.checkText(names[i], path, permitted, isDefined))
                out.insert(std::move(*name));
        }
        return out;
    }

    void readUrgency(const nlohmann::json& value, const std::string& path, Team& out)
    {
        const auto isUrgency = [](const std::string& text) { return parseUrgency(text).has_value(); };
        ObjectReader reader(value, path, m_errors);
        const auto& permitted = reader.array("permitted", "an array of urgencies: live, interactive, batch");
        for (std::size_t i = 0; i < permitted.size(); ++i) {
            const auto itemPath = childPointer(reader.pathOf("permitted"), std::to_string(i));
            if (auto text = m_errors.checkText(permitted[i], itemPath, urgencyRequirement, isUrgency))
                out.permittedUrgencies.insert(*parseUrgency(*text));
        }
        if (reader.isObject() && permitted.empty())
            m_errors.add(reader.pathOf("permitted"), "(empty)", "at least one of live, interactive and batch");
        const auto isPermitted = [&](const std::string& text) {
            const auto urgency = parseUrgency(text);
            return urgency && (out.permittedUrgencies.contains(*urgency) || hasParameterReference(permitted));
        };
        if (auto text = reader.text("default", true, "one of the permitted urgencies", isPermitted))
            out.defaultUrgency = *parseUrgency(*text);
        reader.reportUnknownFields();
    }

    /// Returns whether a string of the array refers to a parameter, whose value is not known before the expansion.
    static bool hasParameterReference(const nlohmann::json& array)
    {
        return std::any_of(array.begin(), array.end(), [](const auto& it) {
            return it.is_string() && it.template get_ref<const std::string&>().find("${") != std::string::npos;
        });
    }

    void readDeadline(const nlohmann::json& value, const std::string& path, Team& out)
    {
        const auto isDuration = [](const std::string& text) {
            return parseDuration(text).value_or(std::chrono::nanoseconds(0)).count() > 0;
        };
        ObjectReader reader(value, path, m_errors);
        const auto defaultText = reader.text("default", true, deadlineRequirement, isDuration);
        const auto maximum = reader.text("max", true, deadlineRequirement, isDuration);
        reader.reportUnknownFields();
        if (!defaultText || !maximum)
            return;
        out.defaultDeadline = *parseDuration(*defaultText);
        out.maximumDeadline = *parseDuration(*maximum);
        if (out.defaultDeadline > out.maximumDeadline)
            m_errors.add(reader.pathOf("default"), *defaultText, "a duration of at most max, " + *maximum);
    }

    std::vector<CallRule> readRules(ObjectReader& reader, std::string_view field)
    {
        std::vector<CallRule> out;
        const auto& rules = reader.array(field, "an array of rules with the fields service, method and path");
        for (std::size_t i = 0; i < rules.size(); ++i) {
            if (auto rule = readRule(rules[i], childPointer(reader.pathOf(field), std::to_string(i))))
                out.push_back(std::move(*rule));
        }
        return out;
    }

    std::optional<CallRule> readRule(const nlohmann::json& value, const std::string& path)
    {
        const auto isMethod = [](const std::string& text) {
            return !text.empty() && text != "GET" && text != "HEAD"
                && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        };
        const auto isDefined = [&](const std::string& text) { return m_scope.services.contains(text); };
        ObjectReader reader(value, path, m_errors);
        auto service
            = reader.text("service", true, "one of the defined services: " + listKeys(m_scope.services), isDefined);
        auto method = reader.text("method", true, methodRequirement, isMethod);
        auto prefix = reader.text(
            "path", true, rulePathRequirement, [](const std::string& text) { return isNormalisedRulePath(text); });
        reader.reportUnknownFields();
        if (!service || !method || !prefix)
            return std::nullopt;
        return CallRule { .service = std::move(*service), .method = std::move(*method), .path = std::move(*prefix) };
    }

    void readShare(ObjectReader& reader, Team& out)
    {
        // The maximum keeps sums and products of shares far below the range of 64-bit integers.
        static constexpr std::uint64_t maximum = 1'000'000;
        const auto* value = reader.find("share");
        if (!value)
            return;
        if (value->is_number_unsigned() && value->get<std::uint64_t>() >= 1 && value->get<std::uint64_t>() <= maximum)
            out.share = value->get<std::uint64_t>();
        else
            m_errors.addWrongType(reader.pathOf("share"), *value, "an integer from 1 to 1000000");
    }

    const TemplateScope& m_scope;
    ValidationErrors& m_errors;
};

} // namespace

Team readTemplate(
    const nlohmann::json& value, const std::string& path, const TemplateScope& scope, ValidationErrors& errors)
{
    return TemplateReader(scope, errors).read(value, path);
}

} // namespace bulrushstack
