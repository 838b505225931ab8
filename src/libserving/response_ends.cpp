#include "bulrushstack/serving/response_ends.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace bulrushstack {

namespace {

/// Time within which the connections of a process that crashes end.
constexpr std::chrono::milliseconds sameMoment { 10 };
/// Time between the beginnings of responses from which on they are not expected to end in the same moment.
constexpr std::chrono::milliseconds distinctBeginnings { 100 };

struct EndedResponse {
    SteadyTime begun {};
    SteadyTime ended {};
};

} // namespace

struct ResponseEnds::Record {
    std::multiset<SteadyTime> open; ///< times at which the responses in progress began
    std::vector<EndedResponse> ended; ///< those in the same moment as the last one
};

ResponseEnds::ResponseEnds(const Clock& clock)
    : m_clock(clock)
{
}

ResponseEnds::Scope ResponseEnds::begin(const UpstreamProcess& process)
{
    auto it = m_records.find(process);
    auto record = it == m_records.end() ? nullptr : it->second.lock();
    if (!record) {
        std::erase_if(m_records, [](const auto& entry) { return entry.second.expired(); });
        record = std::make_shared<Record>();
        m_records[process] = record;
    }
    return Scope(std::move(record), m_clock);
}

bool ResponseEnds::haveEndedTogether(const UpstreamProcess& process, std::size_t minimum) const
{
    const auto it = m_records.find(process);
    const auto record = it == m_records.end() ? nullptr : it->second.lock();
    if (!record || record->ended.empty() || record->ended.size() < minimum)
        return false;
    const bool isOneLeft = !record->open.empty() && *record->open.begin() < record->ended.back().ended;
    if (isOneLeft)
        return false;
    const auto [first, last] = std::minmax_element(record->ended.begin(), record->ended.end(),
        [](const EndedResponse& a, const EndedResponse& b) { return a.begun < b.begun; });
    return last->begun - first->begun >= distinctBeginnings;
}

ResponseEnds::Scope::Scope(std::shared_ptr<Record> record, const Clock& clock)
    : m_record(std::move(record))
    , m_clock(&clock)
    , m_begun(clock.now())
    , m_isOpen(true)
{
    m_record->open.insert(m_begun);
}

ResponseEnds::Scope::~Scope() { leave(); }

ResponseEnds::Scope::Scope(Scope&& other) noexcept
    : m_record(std::move(other.m_record))
    , m_clock(other.m_clock)
    , m_begun(other.m_begun)
    , m_isOpen(std::exchange(other.m_isOpen, false))
{
}

ResponseEnds::Scope& ResponseEnds::Scope::operator=(Scope&& other) noexcept
{
    if (this == &other)
        return *this;
    leave();
    m_record = std::move(other.m_record);
    m_clock = other.m_clock;
    m_begun = other.m_begun;
    m_isOpen = std::exchange(other.m_isOpen, false);
    return *this;
}

void ResponseEnds::Scope::end()
{
    if (!leave())
        return;
    const auto now = m_clock->now();
    std::erase_if(m_record->ended, [&](const EndedResponse& it) { return now - it.ended > sameMoment; });
    m_record->ended.push_back({ .begun = m_begun, .ended = now });
}

/// Counts the response as over. Returns whether it was in progress.
bool ResponseEnds::Scope::leave()
{
    const bool wasOpen = std::exchange(m_isOpen, false);
    if (wasOpen)
        m_record->open.erase(m_record->open.find(m_begun));
    return wasOpen;
}

} // namespace bulrushstack
