#include "bulrushstack/relay/reader_selector.h"

#include <algorithm>
#include <xxhash.h>

namespace bulrushstack {

namespace {

/// Time for which a reader is avoided after its first failure in a row; doubles with each further one.
constexpr std::chrono::milliseconds initialAvoidance { 1000 };
constexpr std::chrono::milliseconds maxAvoidance { 8000 };
constexpr unsigned maxDoublings = 3;

/// Mean time between two reads of a store that has failed, by an instance that has readers.
constexpr std::chrono::milliseconds storeRetryInterval { 1500 };
/// The time between two such reads varies by this fraction, so that the instances do not ask together.
constexpr double storeRetryJitter = 0.3;

std::uint64_t preference(const std::string& instance, const StoreReader& reader)
{
    const std::string pair = instance + "/" + reader.instance;
    return XXH3_64bits(pair.data(), pair.size());
}

} // namespace

ReaderSelector::ReaderSelector(const Clock& clock, std::string ownInstance, std::uint64_t randomSeed)
    : m_clock(clock)
    , m_ownInstance(std::move(ownInstance))
    , m_random(randomSeed)
{
}

void ReaderSelector::setReaders(std::vector<StoreReader> readers)
{
    m_readers = std::move(readers);
    std::sort(m_readers.begin(), m_readers.end(), [this](const StoreReader& a, const StoreReader& b) {
        return preference(m_ownInstance, a) > preference(m_ownInstance, b);
    });
    std::erase_if(m_failures, [this](const auto& failure) {
        return std::none_of(m_readers.begin(), m_readers.end(),
            [&](const StoreReader& reader) { return reader.instance == failure.first; });
    });
}

bool ReaderSelector::isReader() const
{
    return std::any_of(m_readers.begin(), m_readers.end(),
        [this](const StoreReader& reader) { return reader.instance == m_ownInstance; });
}

std::optional<StoreReader> ReaderSelector::choose() const
{
    if (isReader())
        return std::nullopt;
    for (const auto& reader : m_readers) {
        auto it = m_failures.find(reader.instance);
        if (it == m_failures.end() || it->second.avoidedUntil <= m_clock.now())
            return reader;
    }
    return std::nullopt;
}

void ReaderSelector::recordFailure(const std::string& instance)
{
    auto& failures = m_failures[instance];
    const auto avoidance = std::min(maxAvoidance, initialAvoidance * (1 << std::min(failures.inARow, maxDoublings)));
    ++failures.inARow;
    failures.avoidedUntil = m_clock.now() + avoidance;
}

void ReaderSelector::recordSuccess(const std::string& instance) { m_failures.erase(instance); }

bool ReaderSelector::mayReadStore() const
{
    return m_readers.empty() || isReader() || !m_nextStoreRead || m_clock.now() >= *m_nextStoreRead;
}

void ReaderSelector::recordStoreRead(bool isSuccess)
{
    m_nextStoreRead.reset();
    if (isSuccess)
        return;
    std::uniform_real_distribution<double> factor(1 - storeRetryJitter, 1 + storeRetryJitter);
    m_nextStoreRead
        = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(storeRetryInterval * factor(m_random));
}

} // namespace bulrushstack
