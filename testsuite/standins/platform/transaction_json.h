#pragma once

#include "bulrushstack/platform/table_service.h"

namespace bulrushstack::standins {

/// Parses the body of POST /transactions; empty if it is malformed.
std::optional<Transaction> parseTransaction(const std::string& body);

/// Returns the conditions or conflicts as a JSON array.
nlohmann::json toJson(const std::vector<RowCondition>& conditions);

/// Returns the writes as a JSON array.
nlohmann::json toJson(const std::vector<RowWrite>& writes);

/// Returns `{"key","version","value"}`.
nlohmann::json toJson(const Row& row);

} // namespace bulrushstack::standins
