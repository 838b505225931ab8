#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// Version of a row; assigned by the table service, increases with every write, never reused. 0 means absent.
using RowVersion = std::uint64_t;

/// Names a row.
struct RowId {
    std::string table;
    std::string key;

    friend auto operator<=>(const RowId&, const RowId&) = default;
};

/// A row as read.
struct Row {
    RowId id;
    RowVersion version = 0;
    nlohmann::json value;

    friend bool operator==(const Row&, const Row&) = default;
};

/// Requires that a row has the version at commit.
struct RowCondition {
    RowId id;
    RowVersion version = 0;

    friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

/// Writes a row, or deletes it if there is no value.
struct RowWrite {
    RowId id;
    std::optional<nlohmann::json> value;

    friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

/// All conditions hold and all writes take effect, or nothing does.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const Transaction&, const Transaction&) = default;
};

/// The platform's transactional table service.
///
/// Failures: Errc::Unavailable or Errc::Timeout when the service does not answer; for commit() their verdict says
/// whether the transaction may have taken effect. Errc::Malformed for an answer that cannot be understood.
class TableService {
public:
    virtual ~TableService() = default;

    /// Reads one row; an empty optional if it is absent.
    virtual boost::asio::awaitable<Result<std::optional<Row>>> read(RowId id, SteadyTime deadline) = 0;

    /// Lists rows of a table in key order whose key begins with the prefix and is greater than `after`.
    virtual boost::asio::awaitable<Result<std::vector<Row>>> list(
        std::string table, std::string prefix, std::string after, std::size_t limit, SteadyTime deadline)
        = 0;

    /// Commits a transaction and returns the version given to the rows written. Fails with Errc::Conflict and verdict
    /// NotRun if a condition does not hold.
    virtual boost::asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime deadline) = 0;
};

} // namespace bulrushstack
