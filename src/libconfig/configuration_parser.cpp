#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/kernel/settings.h"
#include "template_expansion.h"
#include "template_reader.h"

#include <algorithm>

namespace bulrushstack {

namespace {

constexpr std::uint64_t supportedSchema = 1;

bool isTokenDigest(std::string_view text)
{
    static constexpr std::size_t digits = 64;
    return text.size() == digits && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

std::string lowerCase(std::string text)
{
    for (auto& c : text) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return text;
}

ParameterValues readParameters(const nlohmann::json& value, const std::string& path, Findings& findings)
{
    ParameterValues out;
    for (const auto& [key, member] : value.items()) {
        const auto memberPath = childPointer(path, key);
        if (!isObjectName(key))
            findings.add(memberPath, key, std::string(objectNameRule));
        if (member.is_string())
            out[key] = member.get<std::string>();
        else
            findings.addWrongType(memberPath, member, "a text");
    }
    return out;
}

} // namespace

/// Builds one Configuration from a document and collects the findings.
class ConfigurationParser {
public:
    explicit ConfigurationParser(const nlohmann::json& document)
        : m_document(document)
        , m_out(new Configuration)
    {
    }

    ConfigurationOutcome parse()
    {
        ObjectReader reader(m_document, "", m_findings);
        readNumbers(reader);
        readSection(reader, "models", &ConfigurationParser::readModel);
        checkBases();
        readSection(reader, "services", &ConfigurationParser::readService);
        readSection(reader, "templates", &ConfigurationParser::readTemplateObject);
        readSection(reader, "teams", &ConfigurationParser::readTeam);
        reader.reportUnknown();
        if (m_findings.problems().empty())
            setText();
        if (!m_findings.problems().empty())
            return { .configuration = nullptr, .problems = std::move(m_findings.problems()) };
        return { .configuration = m_out, .problems = {} };
    }

private:
    struct TemplateObject {
        const nlohmann::json* value = nullptr;
        std::string path;
        ParameterValues parameters;
        Findings findings { Findings::Parameters::Open };
    };

    using ReadObject = void (ConfigurationParser::*)(const std::string&, const nlohmann::json&, const std::string&);

    void readNumbers(ObjectReader& reader)
    {
        const std::string schemaRule = "the number 1";
        const auto* schema = reader.find("schema", schemaRule);
        if (schema && *schema != supportedSchema)
            m_findings.addWrongType("/schema", *schema, schemaRule);
        const std::string revisionRule = "a whole number";
        const auto* revision = reader.find("revision", revisionRule);
        if (revision && revision->is_number_integer() && *revision >= 0)
            m_out->m_revision = revision->get<std::uint64_t>();
        else if (revision)
            m_findings.addWrongType("/revision", *revision, revisionRule);
    }

    void readSection(ObjectReader& reader, std::string_view section, ReadObject readObject)
    {
        const auto& objects = reader.object(section, "an object with one member for each name");
        for (const auto& [name, value] : objects.items()) {
            const auto path = childPointer(reader.pathOf(section), name);
            if (!isObjectName(name))
                m_findings.add(path, name, std::string(objectNameRule));
            (this->*readObject)(name, value, path);
        }
    }

    void readModel(const std::string& id, const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_findings);
        const auto isNotEmpty = [](const std::string& text) { return !text.empty(); };
        const auto isKind = [](const std::string& text) { return text == "model" || text == "adapter"; };
        const auto kind = reader.text("kind", true, "model or adapter", isKind);
        const auto size = reader.text("size", true, "a size above zero, such as 200MiB or 14GiB",
            [](const std::string& text) { return parseSize(text).value_or(0) > 0; });
        ModelDefinition model { .id = id, .base = {}, .version = {}, .size = size ? *parseSize(*size) : 0 };
        model.version = reader.text("version", true, "a text that is not empty", isNotEmpty).value_or("");
        if (kind == "adapter")
            model.base = reader.text("base", true, "the name of a model", isNotEmpty).value_or("");
        else if (kind && reader.find("base"))
            m_findings.add(reader.pathOf("base"), "(present)", "no base, since only an adapter has one");
        reader.reportUnknown();
        m_out->m_models.emplace(id, std::move(model));
    }

    void checkBases()
    {
        std::map<std::string, int> bases;
        for (const auto& [id, model] : m_out->m_models) {
            if (!model.isAdapter())
                bases[id];
        }
        for (const auto& [id, model] : m_out->m_models) {
            if (model.isAdapter() && !bases.contains(model.base))
                m_findings.add(childPointer("/models", id) + "/base", model.base,
                    "a defined model that is not an adapter: " + listKeys(bases));
        }
    }

    void readService(const std::string& name, const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_findings);
        ServiceDefinition service;
        service.name = name;
        const auto isStatusPath
            = [](const std::string& text) { return text.starts_with('/') && text.find("{key}") != std::string::npos; };
        service.statusPath
            = reader.text("status_path", false, "an absolute path with {key}", isStatusPath).value_or("");
        if (const auto* flag = reader.find("checks_fencing")) {
            if (flag->is_boolean())
                service.checksFencing = flag->get<bool>();
            else
                m_findings.addWrongType(reader.pathOf("checks_fencing"), *flag, "true or false");
        }
        reader.reportUnknown();
        m_out->m_services.emplace(name, std::move(service));
    }

    void readTemplateObject(const std::string& name, const nlohmann::json& value, const std::string& path)
    {
        TemplateObject object;
        object.value = &value;
        object.path = path;
        auto& own = object.findings;
        if (value.is_object()) {
            ObjectReader reader(value, path, own);
            const auto& parameters = reader.object("parameters", "an object of texts");
            object.parameters = readParameters(parameters, reader.pathOf("parameters"), own);
            auto body = value;
            body.erase("parameters");
            checkParameterReferences(body, path, object.parameters, own);
        }
        readTemplate(value, path, scope(), own);
        m_findings.problems().insert(m_findings.problems().end(), own.problems().begin(), own.problems().end());
        m_templates.emplace(name, std::move(object));
    }

    void readTeam(const std::string& name, const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_findings);
        if (!reader.isObject())
            return;
        const auto templateName
            = reader.text("template", true, "one of the defined templates: " + listKeys(m_templates),
                [&](const std::string& text) { return m_templates.contains(text); });
        const auto& parameters = reader.object("parameters", "an object of texts");
        const auto values = readParameters(parameters, reader.pathOf("parameters"), m_findings);
        readTokenDigests(name, reader);
        reader.reportUnknown();
        if (!templateName)
            return;
        const auto& source = m_templates.at(*templateName);
        for (const auto& [key, text] : values) {
            if (!source.parameters.contains(key))
                m_findings.add(childPointer(reader.pathOf("parameters"), key), text,
                    "the parameters of template " + *templateName + ": " + listKeys(source.parameters));
        }
        expandTeam(name, *templateName, values);
    }

    void expandTeam(const std::string& name, const std::string& templateName, ParameterValues values)
    {
        const auto& source = m_templates.at(templateName);
        values.insert(source.parameters.begin(), source.parameters.end());
        Findings expanded;
        auto team = readTemplate(expandTemplate(*source.value, values), source.path, scope(), expanded);
        for (auto& problem : expanded.problems()) {
            // The template itself was checked before; only its strings with parameters can give new findings here.
            if (source.findings.hasPath(problem.path))
                continue;
            problem.permitted += " (as expanded for team " + name + ")";
            m_findings.problems().push_back(std::move(problem));
        }
        team.name = name;
        team.templateName = templateName;
        m_out->m_teams.emplace(name, std::move(team));
    }

    void readTokenDigests(const std::string& team, ObjectReader& reader)
    {
        const auto& digests = reader.array("token_sha256", "an array of SHA-256 digests");
        for (std::size_t i = 0; i < digests.size(); ++i) {
            const auto path = childPointer(reader.pathOf("token_sha256"), std::to_string(i));
            if (!digests[i].is_string() || !isTokenDigest(digests[i].get_ref<const std::string&>())) {
                m_findings.add(
                    path, std::string(hiddenValue), "the SHA-256 digest of a token as 64 hexadecimal digits");
                continue;
            }
            const auto digest = lowerCase(digests[i].get<std::string>());
            if (!m_out->m_teamsByTokenDigest.emplace(digest, team).second)
                m_findings.add(path, std::string(hiddenValue), "a digest that occurs only once in all teams");
        }
    }

    void setText()
    {
        try {
            m_out->m_text = m_document.dump();
        } catch (const nlohmann::json::exception&) {
            m_findings.add("", "(not UTF-8)", "text in UTF-8");
            return;
        }
        m_out->m_document = m_document;
        m_out->m_digest = sha256Hex(m_out->m_text);
    }

    TemplateScope scope() const { return { .models = m_out->m_models, .services = m_out->m_services }; }

    const nlohmann::json& m_document;
    std::shared_ptr<Configuration> m_out;
    Findings m_findings;
    std::map<std::string, TemplateObject, std::less<>> m_templates;
};

ConfigurationOutcome Configuration::parse(const nlohmann::json& document)
{
    return ConfigurationParser(document).parse();
}

} // namespace bulrushstack
