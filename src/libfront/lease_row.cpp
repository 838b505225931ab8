#include "lease_row.h"

namespace bulrushstack {

LeaseRecord decodeLeaseRow(const Row& row)
{
    LeaseRecord out { .version = row.version };
    if (!row.value.is_object())
        return out;
    out.holder = row.value.value("holder", "");
    out.address = parseAddress(row.value.value("address", "")).value_or(Address());
    // Instances of previous versions do not write these fields.
    out.isInHandover = row.value.value("handover", false);
    out.isFromCopy = row.value.value("restorations", std::uint64_t { 0 }) != restorationsOf(row.version);
    return out;
}

Transaction makeLeaseTransaction(RowVersion version, const LeaseRecord& record)
{
    const std::string address = record.holder.empty() ? std::string() : record.address.toString();
    nlohmann::json value { { "holder", record.holder }, { "address", address },
        { "restorations", restorationsOf(version) }, { "handover", record.isInHandover } };
    return { .conditions = { { .id = leaseRowId, .version = version } },
        .writes = { { .id = leaseRowId, .value = std::move(value) } } };
}

} // namespace bulrushstack
