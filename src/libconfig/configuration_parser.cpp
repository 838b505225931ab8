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

ParameterValues readParameters(const nlohmann::json& value, const std::string& path, ValidationErrors& errors)
{
    ParameterValues out;
    for (const auto& [key, member] : value.items()) {
        const auto memberPath = childPointer(path, key);
        if (!isObjectName(key))
            errors.add(memberPath, key, std::string(objectNameRequirement));
        if (member.is_string())
            out[key] = member.get<std::string>();
        else
            errors.addWrongType(memberPath, member, "a string");
    }
    return out;
}

} // namespace

/// Builds one Configuration from a document and collects the validation errors.
class ConfigurationParser {
public:
    explicit ConfigurationParser(const nlohmann::json& document)
        : m_document(document)
        , m_out(new Configuration)
    {
    }

    ConfigurationParseResult parse()
    {
        ObjectReader reader(m_document, "", m_errors);
        readSchemaAndRevision(reader);
        readSection(reader, "models", &ConfigurationParser::readModel);
        checkAdapterBases();
        readSection(reader, "services", &ConfigurationParser::readService);
        readSection(reader, "templates", &ConfigurationParser::readTemplateEntry);
        readSection(reader, "teams", &ConfigurationParser::readTeam);
        reader.reportUnknownFields();
        if (m_errors.list().empty())
            setCanonicalText();
        if (!m_errors.list().empty())
            return { .configuration = nullptr, .errors = std::move(m_errors.list()) };
        return { .configuration = m_out, .errors = {} };
    }

private:
    struct TemplateEntry {
        const nlohmann::json* value = nullptr;
        std::string path;
        ParameterValues parameters;
        ValidationErrors errors { ValidationErrors::ParameterState::Unexpanded };
    };

    using ReadObject = void (ConfigurationParser::*)(const std::string&, const nlohmann::json&, const std::string&);

    void readSchemaAndRevision(ObjectReader& reader)
    {
        const std::string schemaRequirement = "the number 1";
        const auto* schema = reader.find("schema", schemaRequirement);
        if (schema && *schema != supportedSchema)
            m_errors.addWrongType("/schema", *schema, schemaRequirement);
        const std::string revisionRequirement = "a non-negative integer";
        const auto* revision = reader.find("revision", revisionRequirement);
        if (revision && revision->is_number_integer() && *revision >= 0)
            m_out->m_revision = revision->get<std::uint64_t>();
        else if (revision)
            m_errors.addWrongType("/revision", *revision, revisionRequirement);
    }

    void readSection(ObjectReader& reader, std::string_view section, ReadObject readObject)
    {
        const auto& objects = reader.object(section, "an object with one member for each name");
        for (const auto& [name, value] : objects.items()) {
            const auto path = childPointer(reader.pathOf(section), name);
            if (!isObjectName(name))
                m_errors.add(path, name, std::string(objectNameRequirement));
            (this->*readObject)(name, value, path);
        }
    }

    void readModel(const std::string& id, const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_errors);
        const auto isNotEmpty = [](const std::string& text) { return !text.empty(); };
        const auto isKind = [](const std::string& text) { return text == "model" || text == "adapter"; };
        const auto kind = reader.text("kind", true, "model or adapter", isKind);
        const auto size = reader.text("size", true, "a size above zero, such as 200MiB or 14GiB",
            [](const std::string& text) { return parseSize(text).value_or(0) > 0; });
        ModelDefinition model { .id = id, .base = {}, .version = {}, .size = size ? *parseSize(*size) : 0 };
        model.version = reader.text("version", true, "a non-empty string", isNotEmpty).value_or("");
        if (kind == "adapter")
            model.base = reader.text("base", true, "the name of a model", isNotEmpty).value_or("");
        else if (kind && reader.find("base"))
            m_errors.add(reader.pathOf("base"), "(present)", "no base, since only an adapter has one");
        reader.reportUnknownFields();
        m_out->m_models.emplace(id, std::move(model));
    }

    void checkAdapterBases()
    {
        std::map<std::string, int> bases;
        for (const auto& [id, model] : m_out->m_models) {
            if (!model.isAdapter())
                bases[id];
        }
        for (const auto& [id, model] : m_out->m_models) {
            if (model.isAdapter() && !bases.contains(model.base))
                m_errors.add(childPointer("/models", id) + "/base", model.base,
                    "a defined model that is not an adapter: " + listKeys(bases));
        }
    }

    void readService(const std::string& name, const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_errors);
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
                m_errors.addWrongType(reader.pathOf("checks_fencing"), *flag, "true or false");
        }
        reader.reportUnknownFields();
        m_out->m_services.emplace(name, std::move(service));
    }

    void readTemplateEntry(const std::string& name, const nlohmann::json& value, const std::string& path)
    {
        TemplateEntry object;
        object.value = &value;
        object.path = path;
        auto& templateErrors = object.errors;
        if (value.is_object()) {
            ObjectReader reader(value, path, templateErrors);
            const auto& parameters = reader.object("parameters", "an object of strings");
            object.parameters = readParameters(parameters, reader.pathOf("parameters"), templateErrors);
            auto body = value;
            body.erase("parameters");
            checkParameterReferences(body, path, object.parameters, templateErrors);
        }
        readTemplate(value, path, scope(), templateErrors);
        m_errors.list().insert(m_errors.list().end(), templateErrors.list().begin(), templateErrors.list().end());
        m_templates.emplace(name, std::move(object));
    }

    void readTeam(const std::string& name, const nlohmann::json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_errors);
        if (!reader.isObject())
            return;
        const auto templateName
            = reader.text("template", true, "one of the defined templates: " + listKeys(m_templates),
                [&](const std::string& text) { return m_templates.contains(text); });
        const auto& parameters = reader.object("parameters", "an object of strings");
        const auto values = readParameters(parameters, reader.pathOf("parameters"), m_errors);
        readTokenDigests(name, reader);
        reader.reportUnknownFields();
        if (!templateName)
            return;
        const auto& source = m_templates.at(*templateName);
        for (const auto& [key, text] : values) {
            if (!source.parameters.contains(key))
                m_errors.add(childPointer(reader.pathOf("parameters"), key), text,
                    "the parameters of template " + *templateName + ": " + listKeys(source.parameters));
        }
        expandTeam(name, *templateName, values);
    }

    void expandTeam(const std::string& name, const std::string& templateName, ParameterValues values)
    {
        const auto& source = m_templates.at(templateName);
        values.insert(source.parameters.begin(), source.parameters.end());
        ValidationErrors expansionErrors;
        auto team = readTemplate(expandTemplate(*source.value, values), source.path, scope(), expansionErrors);
        for (auto& error : expansionErrors.list()) {
            // The template itself has been validated; only its strings with parameters can add errors here.
            if (source.errors.hasPath(error.path))
                continue;
            error.permitted += " (as expanded for team " + name + ")";
            m_errors.list().push_back(std::move(error));
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
                m_errors.add(
                    path, std::string(redactedValue), "the SHA-256 digest of a token as 64 hexadecimal digits");
                continue;
            }
            const auto digest = lowerCase(digests[i].get<std::string>());
            if (!m_out->m_teamsByTokenDigest.emplace(digest, team).second)
                m_errors.add(path, std::string(redactedValue), "a digest that occurs only once in all teams");
        }
    }

    void setCanonicalText()
    {
        try {
            m_out->m_text = m_document.dump();
        } catch (const nlohmann::json::exception&) {
            m_errors.add("", "(not UTF-8)", "text in UTF-8");
            return;
        }
        m_out->m_document = m_document;
        m_out->m_digest = sha256Hex(m_out->m_text);
    }

    TemplateScope scope() const { return { .models = m_out->m_models, .services = m_out->m_services }; }

    const nlohmann::json& m_document;
    std::shared_ptr<Configuration> m_out;
    ValidationErrors m_errors;
    std::map<std::string, TemplateEntry, std::less<>> m_templates;
};

ConfigurationParseResult Configuration::parse(const nlohmann::json& document)
{
    return ConfigurationParser(document).parse();
}

} // namespace bulrushstack
