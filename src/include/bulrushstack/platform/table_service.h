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

/// Version of a row. The table service assigns a higher version with every write and never reuses one. 0 means that the
/// row does not exist.
///
/// A service that can be restored from a copy assigns versions again. Its binding puts the number of restorations into
/// the upper bits, so that the versions after a restoration are higher than all before it.
using RowVersion = std::uint64_t;

/// Number of bits below the number of restorations.
inline constexpr unsigned restorationShift = 40;

/// Returns the number of restorations of the table service at the time of the version.
inline std::uint64_t restorationsOf(RowVersion version) { return version >> restorationShift; }

/// Identifies a row.
struct RowId {
    std::string table;
    std::string key;

    friend auto operator<=>(const RowId&, const RowId&) = default;
};

/// Content of a row and the version at which it was read.
struct Row {
    RowId id;
    RowVersion version = 0;
    nlohmann::json value;

    friend bool operator==(const Row&, const Row&) = default;
};

/// Condition of a transaction: the row must have this version at the time of the commit.
struct RowCondition {
    RowId id;
    RowVersion version = 0;

    friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

/// Write of a transaction: replaces the value of the row, or deletes the row if there is no value.
struct RowWrite {
    RowId id;
    std::optional<nlohmann::json> value;

    friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

/// Transaction with conditions. Either all conditions hold and all writes take effect, or no write does.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const Transaction&, const Transaction&) = default;
};

/// The platform's transactional table service.
///
/// The methods fail with Errc::Unavailable or Errc::Timeout if the service does not respond, and with Errc::Malformed
/// if the response is invalid. For commit(), the verdict of the failure says whether the transaction may have taken
/// effect.
class TableService {
public:
    virtual ~TableService() = default;

    /// Reads one row; returns an empty optional if it does not exist.
    virtual boost::asio::awaitable<Result<std::optional<Row>>> read(RowId id, SteadyTime deadline) = 0;

    /// Returns, in key order, at most `limit` rows of a table whose key starts with the prefix and is greater than
    /// `after`.
    virtual boost::asio::awaitable<Result<std::vector<Row>>> list(
        std::string table, std::string prefix, std::string after, std::size_t limit, SteadyTime deadline)
        = 0;

    /// Commits a transaction and returns the new version of the written rows. Fails with Errc::Conflict and the verdict
    /// NotRun if a condition does not hold.
    virtual boost::asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime deadline) = 0;
};

} // namespace bulrushstack
