#pragma once

#include "bulrushstack/serving/upstream_directory.h"
#include "holder_row.h"

namespace bulrushstack {

/// Row with the software versions that the services had lately.
inline const RowId versionHistoryRowId { .table = "placement", .key = "versions" };

nlohmann::json encodeVersions(const SoftwareVersions& versions);

/// Ignores what is not readable.
SoftwareVersions decodeVersions(const nlohmann::json& document);

/// Keeps the recent software versions of the services in the platform's store, so that they are known after the loss of
/// all instances at once. Without them, a stream that began at a version which left meanwhile would go on at another
/// one. The holder of the placement lease writes the row; whoever takes up a stream of unknown origin reads it.
class VersionHistory {
public:
    VersionHistory(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager);

    /// Writes the row if this instance is the holder and the versions have changed since the last write, or the store
    /// was restored from a copy. A new holder first merges the row of its predecessor into its directory. What failed
    /// is repeated by the next call.
    boost::asio::awaitable<void> saveIfChanged();

private:
    boost::asio::awaitable<bool> mergeRow();

    FrontState& m_state;
    HolderRow m_row;
    SoftwareVersions m_saved;
    bool m_isMerged = false; ///< Whether the row of the predecessor was read in this term.
};

} // namespace bulrushstack
