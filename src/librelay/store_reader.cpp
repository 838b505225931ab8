#include "bulrushstack/relay/store_reader.h"

#include <algorithm>
#include <xxhash.h>

namespace bulrushstack {

namespace {

std::uint64_t hashOf(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

bool isPreferred(const RelayMember& a, const RelayMember& b)
{
    if (a.processorShare != b.processorShare)
        return a.processorShare > b.processorShare;
    const auto hashA = hashOf(a.instance);
    const auto hashB = hashOf(b.instance);
    return hashA != hashB ? hashA < hashB : a.instance < b.instance;
}

} // namespace

std::vector<StoreReader> chooseStoreReaders(
    const std::vector<RelayMember>& members, const std::string& zone, const ReaderChoiceOptions& options)
{
    if (members.size() < options.minInstances || options.changePeriod < relayedChangeDelay)
        return {};
    std::vector<RelayMember> candidates;
    std::copy_if(members.begin(), members.end(), std::back_inserter(candidates),
        [&](const RelayMember& member) { return member.zone == zone && member.address.port != 0; });
    std::sort(candidates.begin(), candidates.end(), isPreferred);
    const std::size_t share = (candidates.size() + options.instancesPerReader - 1) / options.instancesPerReader;
    const auto count = std::min(candidates.size(), std::max<std::size_t>(share, options.minReadersPerZone));
    std::vector<StoreReader> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back({ .instance = candidates[i].instance, .address = candidates[i].address });
    return out;
}

} // namespace bulrushstack
