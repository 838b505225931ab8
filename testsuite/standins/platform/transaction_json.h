#pragma once

#include "bulrushstack/platform/table_service.h"

namespace bulrushstack::standins {

/// Parses the body of POST /transactions. Returns an empty optional if it is malformed.
std::optional<Transaction> parseTransaction(const std::string& body);

/// Returns the conditions or conflicts as a JSON array.
nlohmann::json toJson(const std::vector<RowCondition>& conditions);

/// Returns the writes as a JSON array.
nlohmann::json toJson(const std::vector<RowWrite>& writes);

/// Returns the row as a JSON object with the members "key", "version" and "value".
nlohmann::json toJson(const Row& row);

} // namespace bulrushstack::standins
