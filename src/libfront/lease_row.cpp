#include "lease_row.h"

namespace bulrushstack {

LeaseRecord decodeLeaseRow(const Row& row)
{
    LeaseRecord out { .version = row.version };
    if (!row.value.is_object())
        return out;
    out.holder = row.value.value("holder", "");
    out.address = parseAddress(row.value.value("address", "")).value_or(Address());
    // Instances of the previous version do not write the field.
    out.isFromCopy = row.value.value("restorations", std::uint64_t { 0 }) != restorationsOf(row.version);
    return out;
}

Transaction makeLeaseTransaction(RowVersion version, const std::string& holder, const std::string& address)
{
    nlohmann::json value { { "holder", holder }, { "address", address }, { "restorations", restorationsOf(version) } };
    return { .conditions = { { .id = leaseRowId, .version = version } },
        .writes = { { .id = leaseRowId, .value = std::move(value) } } };
}

} // namespace bulrushstack
