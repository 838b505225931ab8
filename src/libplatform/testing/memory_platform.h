#pragma once

#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/platform/object_store.h"
#include "bulrushstack/platform/table_service.h"

#include <algorithm>
#include <functional>
#include <map>

namespace bulrushstack {

/// Fault that MemoryTableService injects into one call.
enum class FakeFault {
    None,
    Unavailable, ///< nothing takes effect; the failure has the verdict NotRun
    LostRequest, ///< nothing takes effect; the failure has the verdict MayHaveRun
    LostResponse, ///< the write takes effect; the failure has the verdict MayHaveRun
};

/// In-memory table service for unit tests and for the platform stand-in of the test suite. Calls complete immediately.
class MemoryTableService final : public TableService {
public:
    /// Called before each operation with "read", "list" or "commit"; returns the fault to inject. It may change rows.
    std::function<FakeFault(std::string_view operation)> fault;

    boost::asio::awaitable<Result<std::optional<Row>>> read(RowId id, SteadyTime) override
    {
        if (auto failure = injectedFailure("read"))
            co_return *failure;
        co_return find(id);
    }

    boost::asio::awaitable<Result<std::vector<Row>>> list(
        std::string table, std::string prefix, std::string after, std::size_t limit, SteadyTime) override
    {
        if (auto failure = injectedFailure("list"))
            co_return *failure;
        co_return range(table, prefix, after, limit);
    }

    boost::asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime) override
    {
        const auto kind = fault ? fault("commit") : FakeFault::None;
        if (kind == FakeFault::Unavailable || kind == FakeFault::LostRequest)
            co_return toFailure(kind);
        auto version = apply(transaction);
        if (kind == FakeFault::LostResponse)
            co_return toFailure(kind);
        if (!version)
            co_return Failure {
                .code = Errc::Conflict, .verdict = Verdict::NotRun, .detail = "a condition does not hold"
            };
        co_return *version;
    }

    std::optional<Row> find(const RowId& id) const
    {
        auto it = m_rows.find(id);
        return it == m_rows.end() ? std::nullopt : std::optional(it->second);
    }

    /// Returns the rows that TableService::list() returns for the same arguments.
    std::vector<Row> range(
        const std::string& table, const std::string& prefix, const std::string& after, std::size_t limit) const
    {
        std::vector<Row> out;
        for (auto it = m_rows.lower_bound({ table, std::max(prefix, after) }); it != m_rows.end() && out.size() < limit;
             ++it) {
            if (it->first.table != table || !it->first.key.starts_with(prefix))
                break;
            if (it->first.key > after || after.empty())
                out.push_back(it->second);
        }
        return out;
    }

    /// Returns the conditions of the transaction that do not hold, with the versions that the rows have.
    std::vector<RowCondition> conflicts(const Transaction& transaction) const
    {
        std::vector<RowCondition> out;
        for (const auto& [id, version] : transaction.conditions) {
            const auto row = find(id);
            const RowVersion actual = row ? row->version : 0;
            if (actual != version)
                out.push_back({ .id = id, .version = actual });
        }
        return out;
    }

    /// Applies the transaction and returns the version of the written rows; empty if a condition does not hold.
    std::optional<RowVersion> apply(const Transaction& transaction)
    {
        if (!conflicts(transaction).empty())
            return std::nullopt;
        ++m_commits;
        for (const auto& [id, value] : transaction.writes) {
            if (value)
                m_rows.insert_or_assign(id, Row { .id = id, .version = m_commits, .value = *value });
            else
                m_rows.erase(id);
        }
        return m_commits;
    }

    /// Returns the number of transactions that have taken effect.
    std::uint64_t commits() const { return m_commits; }

private:
    static Failure toFailure(FakeFault kind)
    {
        const auto verdict = kind == FakeFault::Unavailable ? Verdict::NotRun : Verdict::MayHaveRun;
        return { .code = Errc::Unavailable, .verdict = verdict, .detail = "table service unavailable" };
    }

    std::optional<Failure> injectedFailure(std::string_view operation)
    {
        const auto kind = fault ? fault(operation) : FakeFault::None;
        return kind == FakeFault::None ? std::nullopt : std::optional(toFailure(kind));
    }

    std::map<RowId, Row> m_rows;
    std::uint64_t m_commits = 0;
};

/// In-memory object store for unit tests and for the platform stand-in of the test suite.
class MemoryObjectStore final : public ObjectStore {
public:
    bool isAvailable = true; ///< if false, all calls fail with Errc::Unavailable

    boost::asio::awaitable<Result<std::string>> put(std::string content, SteadyTime) override
    {
        if (!isAvailable)
            co_return unavailable();
        auto digest = sha256Hex(content);
        m_objects[digest] = std::move(content);
        co_return digest;
    }

    boost::asio::awaitable<Result<std::optional<std::string>>> get(std::string digest, SteadyTime) override
    {
        if (!isAvailable)
            co_return unavailable();
        auto it = m_objects.find(digest);
        co_return it == m_objects.end() ? std::nullopt : std::optional(it->second);
    }

private:
    static Failure unavailable()
    {
        return { .code = Errc::Unavailable, .verdict = Verdict::NotRun, .detail = "object store unavailable" };
    }

    std::map<std::string, std::string> m_objects;
};

} // namespace bulrushstack
