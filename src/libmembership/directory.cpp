#include "bulrushstack/membership/directory.h"

#include <algorithm>

namespace bulrushstack {

InstanceDirectory::InstanceDirectory(const Clock& clock, InstanceDirectoryOptions options)
    : m_clock(clock)
    , m_options(options)
{
}

void InstanceDirectory::updateInstanceList(const std::vector<InstanceRecord>& records)
{
    updateInstanceList(records, m_clock.now());
}

void InstanceDirectory::updateInstanceList(const std::vector<InstanceRecord>& records, SteadyTime requestedAt)
{
    std::map<std::string, Member, std::less<>> members;
    for (const auto& record : records) {
        if (record.state == InstanceState::Leaving)
            markLeaving(record.id, record.incarnation);
        Member member;
        auto it = m_members.find(record.id);
        // The instance list may lag behind and still show the incarnation before a restart that is already known.
        const bool isKnown = it != m_members.end() && it->second.record.incarnation >= record.incarnation;
        if (isKnown)
            member = std::move(it->second);
        if (!isKnown || member.record.incarnation == record.incarnation)
            member.record = record;
        members.emplace(record.id, std::move(member));
    }
    m_members = std::move(members);
    m_instanceListTime = requestedAt;
}

void InstanceDirectory::markLeaving(std::string_view id, std::uint64_t incarnation)
{
    auto [it, isNew] = m_leaving.try_emplace(std::string(id), incarnation);
    if (!isNew)
        it->second = std::max(it->second, incarnation);
}

std::vector<std::pair<std::string, std::uint64_t>> InstanceDirectory::leaving() const
{
    std::vector<std::pair<std::string, std::uint64_t>> out;
    for (const auto& [id, member] : m_members) {
        if (isLeaving(member.record))
            out.emplace_back(id, m_leaving.at(id));
    }
    return out;
}

void InstanceDirectory::recordConnection(std::string_view id, bool isSuccess)
{
    auto* member = findMember(id);
    if (!member)
        return;
    if (isSuccess)
        member->unreachableSince.reset();
    else
        member->unreachableSince = m_clock.now();
}

void InstanceDirectory::recordLoadReport(std::string_view id, LoadReport report)
{
    auto* member = findMember(id);
    if (!member || report.incarnation < member->record.incarnation)
        return;
    member->record.incarnation = report.incarnation;
    member->load = std::move(report);
    member->loadTime = m_clock.now();
}

void InstanceDirectory::recordHeartbeat(
    std::string_view id, std::uint64_t incarnation, InstanceState state, std::uint64_t revision, std::string digest)
{
    if (state == InstanceState::Leaving)
        markLeaving(id, incarnation);
    auto* member = findMember(id);
    if (!member || incarnation < member->record.incarnation)
        return;
    member->record.incarnation = incarnation;
    member->heartbeatTime = m_clock.now();
    member->revision = revision;
    member->digest = std::move(digest);
}

void InstanceDirectory::beginRequest(std::string_view id)
{
    if (auto* member = findMember(id))
        ++member->inFlight;
}

void InstanceDirectory::endRequest(std::string_view id)
{
    // The instance may have been removed and added again since the request began, which resets the counter.
    auto* member = findMember(id);
    if (member && member->inFlight > 0)
        --member->inFlight;
}

UpstreamSnapshot InstanceDirectory::upstreams() const
{
    const auto now = m_clock.now();
    UpstreamSnapshot out;
    for (const auto& [id, member] : m_members) {
        if (member.record.role == InstanceRole::Entry)
            continue;
        UpstreamView view;
        view.record = effectiveRecord(member);
        view.isReachable = !member.unreachableSince || now - *member.unreachableSince >= m_options.unreachableDuration;
        view.inFlight = member.inFlight;
        if (member.load && member.load->incarnation == member.record.incarnation) {
            view.resident = member.load->resident;
            view.loadAge = now - member.loadTime;
            if (view.loadAge < m_options.loadReportLifetime)
                view.load = member.load;
        }
        out.push_back(std::move(view));
    }
    return out;
}

std::vector<PeerView> InstanceDirectory::peers() const
{
    const auto now = m_clock.now();
    std::vector<PeerView> out;
    for (const auto& [id, member] : m_members) {
        if (member.record.role != InstanceRole::Entry)
            continue;
        PeerView view;
        view.record = effectiveRecord(member);
        view.revision = member.revision;
        view.digest = member.digest;
        view.age = member.heartbeatTime ? now - *member.heartbeatTime : std::chrono::nanoseconds::max();
        out.push_back(std::move(view));
    }
    return out;
}

std::chrono::nanoseconds InstanceDirectory::instanceListAge() const
{
    return m_instanceListTime ? m_clock.now() - *m_instanceListTime : std::chrono::nanoseconds::max();
}

InstanceDirectory::Member* InstanceDirectory::findMember(std::string_view id)
{
    auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

bool InstanceDirectory::isLeaving(const InstanceRecord& record) const
{
    auto it = m_leaving.find(record.id);
    return it != m_leaving.end() && it->second >= record.incarnation;
}

InstanceRecord InstanceDirectory::effectiveRecord(const Member& member) const
{
    InstanceRecord record = member.record;
    if (isLeaving(record))
        record.state = InstanceState::Leaving;
    return record;
}

} // namespace bulrushstack
