#include "engine_json.h"

#include <nlohmann/json.hpp>

namespace bulrushstack::detail {

using json = nlohmann::json;

namespace {

/// Reads the fields of an untrusted JSON object. error() reports the first field that is missing or has the wrong type.
class FieldReader {
public:
    explicit FieldReader(const json& object)
        : m_object(object)
    {
    }

    std::uint64_t number(const char* name) { return read<std::uint64_t>(name, &json::is_number_unsigned); }
    double real(const char* name) { return read<double>(name, &json::is_number); }
    std::string text(const char* name) { return read<std::string>(name, &json::is_string); }
    bool flag(const char* name) { return read<bool>(name, &json::is_boolean); }
    json object(const char* name) { return read<json>(name, &json::is_object); }
    json array(const char* name) { return read<json>(name, &json::is_array); }

    const std::string& error() const { return m_error; }

private:
    template <typename T> T read(const char* name, bool (json::*isExpected)() const noexcept)
    {
        const auto it = m_object.is_object() ? m_object.find(name) : m_object.end();
        if (it != m_object.end() && (*it.*isExpected)())
            return it->template get<T>();
        if (m_error.empty())
            m_error = std::string("field '") + name + "' is missing or has the wrong type";
        return T();
    }

    const json& m_object;
    std::string m_error;
};

Failure malformed(std::string_view what, std::string_view detail)
{
    return { .code = Errc::Malformed,
        .verdict = Verdict::MayHaveRun,
        .detail = std::string(what) + ": " + std::string(detail) };
}

std::optional<ResidentState> parseState(std::string_view text)
{
    if (text == "loading")
        return ResidentState::Loading;
    if (text == "ready")
        return ResidentState::Ready;
    if (text == "unloading")
        return ResidentState::Unloading;
    return std::nullopt;
}

Result<ResidentModel> parseResident(const json& entry)
{
    FieldReader reader(entry);
    ResidentModel out;
    out.model = reader.text("model");
    out.version = reader.text("version");
    out.bytes = reader.number("bytes");
    const auto state = parseState(reader.text("state"));
    if (!reader.error().empty())
        return malformed("load report", reader.error());
    if (!state)
        return malformed("load report", "field 'state' has an unknown value");
    out.state = *state;
    return out;
}

} // namespace

Result<LoadReport> parseLoadReport(std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    FieldReader reader(document);
    LoadReport out;
    out.incarnation = reader.number("incarnation");
    out.queued = reader.number("queued");
    out.running = reader.number("running");
    out.tokensPerSecond = reader.real("tokens_per_second");
    const auto memory = reader.object("memory");
    const auto resident = reader.array("resident");
    if (!reader.error().empty())
        return malformed("load report", reader.error());
    FieldReader memoryReader(memory);
    out.memoryCapacity = memoryReader.number("capacity");
    out.memoryUsed = memoryReader.number("used");
    if (!memoryReader.error().empty())
        return malformed("load report", memoryReader.error());
    for (const auto& it : resident) {
        auto model = parseResident(it);
        if (!model)
            return model.error();
        out.resident.push_back(std::move(*model));
    }
    return out;
}

Result<ServiceCallStatus> parseCallStatus(unsigned status, std::string_view body)
{
    if (status != 200 && status != 404)
        return malformed("call status", "unexpected HTTP status " + std::to_string(status));
    const auto document = json::parse(body, nullptr, false);
    FieldReader reader(document);
    ServiceCallStatus out;
    out.wasExecuted = reader.flag("executed");
    if (!reader.error().empty())
        return malformed("call status", reader.error());
    if (out.wasExecuted != (status == 200))
        return malformed("call status", "field 'executed' contradicts the HTTP status");
    if (!out.wasExecuted)
        return out;
    const auto callStatus = reader.number("status");
    if (!reader.error().empty())
        return malformed("call status", reader.error());
    if (callStatus < 200 || callStatus > 599)
        return malformed("call status", "field 'status' is not a final HTTP status (200 to 599)");
    out.response = jsonResponse(static_cast<unsigned>(callStatus), document.value("body", json()).dump());
    return out;
}

std::string formatOrder(const EngineOrder& order)
{
    const json document {
        { "order_id", order.orderId },
        { "fencing", order.fencingNumber },
        { "op", order.kind == OrderKind::Load ? "load" : "unload" },
        { "model", order.model },
        { "version", order.version },
        { "bytes", order.bytes },
    };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace bulrushstack::detail
