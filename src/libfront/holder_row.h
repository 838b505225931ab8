#pragma once

#include "bulrushstack/front/front_binding.h"
#include "front_state.h"
#include "lease_manager.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace bulrushstack {

/// A row in the platform's store that only the holder of the placement lease writes. A write is conditional on the
/// lease's row, so that an instance which was suspended cannot replace the row of its successor.
class HolderRow {
public:
    HolderRow(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager, RowId id);

    bool isHolder() const { return m_leaseManager.isHolder(); }

    /// Reads the row. Fails with the error of the call.
    boost::asio::awaitable<Result<std::optional<Row>>> read();

    /// Returns whether the store was restored from a copy since the last write, so that the row may be lost.
    bool isStoreRestored() const;

    /// Records that a restored store would have lost nothing.
    void recordNothingToWrite();

    /// Writes the row, or removes it if there is no value. Call it only on the holder.
    boost::asio::awaitable<Result<void>> write(std::optional<nlohmann::json> value);

private:
    FrontState& m_state;
    FrontBinding& m_binding;
    const LeaseManager& m_leaseManager;
    RowId m_id;
    /// Number of restorations of the store at the last write, or when there was nothing to write.
    std::uint64_t m_restorations = 0;
};

} // namespace bulrushstack
