#pragma once

#include "bulrushstack/platform/table_service.h"
#include "bulrushstack/serving/placement_lease.h"

#include <string>

namespace bulrushstack {

/// Row of the placement lease.
inline const RowId leaseRowId { .table = "placement", .key = "lease" };

/// Reads the row of the placement lease. The row names the restorations of the store at the time of its writing, which
/// tell whether the store holds it only since it was restored from a copy.
LeaseRecord decodeLeaseRow(const Row& row);

/// Returns a transaction that writes the lease's row if the row has the given version. A record without a holder
/// releases the lease.
Transaction makeLeaseTransaction(RowVersion version, const LeaseRecord& record);

} // namespace bulrushstack
