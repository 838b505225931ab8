#include "transaction_json.h"

namespace bulrushstack::standins {

using json = nlohmann::json;

namespace {

std::optional<RowId> parseId(const json& value)
{
    if (!value.is_object() || !value.contains("table") || !value.contains("key"))
        return std::nullopt;
    const auto& table = value.at("table");
    const auto& key = value.at("key");
    if (!table.is_string() || !key.is_string() || table.empty() || key.get<std::string>().empty())
        return std::nullopt;
    RowId id;
    id.table = table.get<std::string>();
    id.key = key.get<std::string>();
    return id;
}

std::optional<RowCondition> parseCondition(const json& value)
{
    auto id = parseId(value);
    if (!id || !value.contains("version") || !value.at("version").is_number_unsigned())
        return std::nullopt;
    RowCondition condition;
    condition.id = std::move(*id);
    condition.version = value.at("version").get<RowVersion>();
    return condition;
}

std::optional<RowWrite> parseWrite(const json& value)
{
    auto id = parseId(value);
    if (!id)
        return std::nullopt;
    const bool isDeletion = value.contains("delete") && value.at("delete") == json(true);
    if (isDeletion == value.contains("value"))
        return std::nullopt;
    RowWrite write;
    write.id = std::move(*id);
    if (!isDeletion)
        write.value.emplace(value.at("value"));
    return write;
}

template <typename T, typename Parse>
bool parseArray(const json& document, const char* name, std::vector<T>& out, Parse parse)
{
    if (!document.contains(name) || !document.at(name).is_array())
        return false;
    for (const auto& it : document.at(name)) {
        auto item = parse(it);
        if (!item)
            return false;
        out.push_back(std::move(*item));
    }
    return true;
}

json toJson(const RowId& id)
{
    auto out = json::object();
    out["table"] = id.table;
    out["key"] = id.key;
    return out;
}

} // namespace

std::optional<Transaction> parseTransaction(const std::string& body)
{
    const auto document = json::parse(body, nullptr, false);
    Transaction transaction;
    if (!document.is_object() || !parseArray(document, "conditions", transaction.conditions, parseCondition)
        || !parseArray(document, "writes", transaction.writes, parseWrite))
        return std::nullopt;
    return transaction;
}

json toJson(const std::vector<RowCondition>& conditions)
{
    auto out = json::array();
    for (const auto& it : conditions) {
        auto condition = toJson(it.id);
        condition["version"] = it.version;
        out.push_back(std::move(condition));
    }
    return out;
}

json toJson(const std::vector<RowWrite>& writes)
{
    auto out = json::array();
    for (const auto& it : writes) {
        auto write = toJson(it.id);
        if (it.value)
            write["value"] = *it.value;
        else
            write["delete"] = true;
        out.push_back(std::move(write));
    }
    return out;
}

json toJson(const Row& row)
{
    auto out = json::object();
    out["key"] = row.id.key;
    out["version"] = row.version;
    out["value"] = row.value;
    return out;
}

} // namespace bulrushstack::standins
