#include "bulrushstack/serving/upstream_loads.h"

#include "exponential_decay.h"
#include <algorithm>
#include <utility>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time after which the reported load of other instances counts for 1/e.
constexpr Seconds loadDecayTime { 2.0 };
constexpr Seconds failureDecayTime { 3.0 };
/// Weight of the latest attempt in the moving average of failures.
constexpr double failureWeight = 0.3;
constexpr std::chrono::milliseconds refusedAvoidance { 150 };
constexpr std::chrono::milliseconds unreachableAvoidance { 700 };
constexpr std::chrono::seconds prefixLifetime { 30 };
constexpr std::size_t prefixesPerUpstream = 256;

void dropOldest(std::map<std::string, SteadyTime>& prefixes)
{
    prefixes.erase(std::min_element(
        prefixes.begin(), prefixes.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
}

} // namespace

UpstreamLoads::UpstreamLoads(const Clock& clock)
    : m_clock(clock)
{
}

const UpstreamLoad* UpstreamLoads::find(const std::string& id) const
{
    auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second->load;
}

const std::shared_ptr<UpstreamLoads::Record>& UpstreamLoads::recordOf(const std::string& id)
{
    auto& out = m_records[id];
    if (!out)
        out = std::make_shared<Record>();
    return out;
}

UpstreamLoads::RequestScope::RequestScope(std::shared_ptr<Record> record, std::string id, std::uint64_t number)
    : m_record(std::move(record))
    , m_id(std::move(id))
    , m_number(number)
{
}

UpstreamLoads::RequestScope::RequestScope(RequestScope&& other) noexcept { *this = std::move(other); }

UpstreamLoads::RequestScope& UpstreamLoads::RequestScope::operator=(RequestScope&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_record = std::exchange(other.m_record, nullptr);
    m_id = std::move(other.m_id);
    m_number = other.m_number;
    m_hasFirstResponse = other.m_hasFirstResponse;
    return *this;
}

void UpstreamLoads::RequestScope::release()
{
    if (const auto record = std::exchange(m_record, nullptr))
        close(*record, m_number);
}

void UpstreamLoads::close(Record& record, std::uint64_t number)
{
    const auto it = record.open.find(number);
    if (it == record.open.end())
        return; // It was dropped.
    removeInFlight(record.load, it->second.request, it->second.hasFirstResponse);
    record.open.erase(it);
}

UpstreamLoads::RequestScope UpstreamLoads::begin(const std::string& id, const SentRequest& request)
{
    recordStart(id, request);
    const auto& record = recordOf(id);
    record->open[++m_requestCount] = { .request = request };
    return RequestScope(record, id, m_requestCount);
}

void UpstreamLoads::recordFirstResponse(RequestScope& request, std::optional<ReportedLoad> reported)
{
    request.m_hasFirstResponse = true;
    const auto& record = recordOf(request.m_id);
    const auto it = record->open.find(request.m_number);
    if (it == record->open.end())
        return;
    it->second.hasFirstResponse = true;
    recordFirstResponse(request.m_id, it->second.request, reported);
}

void UpstreamLoads::recordOutcome(RequestScope& request, AttemptOutcome outcome)
{
    request.release();
    recordOutcome(request.m_id, request.m_hasFirstResponse, outcome);
}

void UpstreamLoads::recordStart(const std::string& id, const SentRequest& request)
{
    auto& load = recordOf(id)->load;
    ++load.inFlight;
    load.prefillBacklog += request.prefillTokens;
    load.unanswered.emplace(request.urgency, request.sent + request.prefillTime);
}

void UpstreamLoads::removeWaiting(UpstreamLoad& load, const SentRequest& request)
{
    load.prefillBacklog = std::max(0.0, load.prefillBacklog - request.prefillTokens);
    const auto it = load.unanswered.find({ request.urgency, request.sent + request.prefillTime });
    if (it != load.unanswered.end())
        load.unanswered.erase(it);
}

void UpstreamLoads::recordFirstResponse(
    const std::string& id, const SentRequest& request, std::optional<ReportedLoad> reported)
{
    auto& load = recordOf(id)->load;
    removeWaiting(load, request);
    auto& answered = load.answered[request.urgency];
    answered = std::max(answered, request.sent + request.prefillTime);
    if (reported)
        recordReport(id, *reported);
}

void UpstreamLoads::recordReport(const std::string& id, ReportedLoad reported)
{
    auto& load = recordOf(id)->load;
    load.reported = reported;
    load.reportedAt = m_clock.now();
    load.inFlightWhenReported = load.inFlight;
}

void UpstreamLoads::recordEnd(
    const std::string& id, const SentRequest& request, bool hadFirstResponse, AttemptOutcome outcome)
{
    removeInFlight(recordOf(id)->load, request, hadFirstResponse);
    recordOutcome(id, hadFirstResponse, outcome);
}

void UpstreamLoads::removeInFlight(UpstreamLoad& load, const SentRequest& request, bool hadFirstResponse)
{
    if (load.inFlight > 0)
        --load.inFlight;
    if (!hadFirstResponse)
        removeWaiting(load, request);
}

void UpstreamLoads::recordOutcome(const std::string& id, bool hadFirstResponse, AttemptOutcome outcome)
{
    auto& load = recordOf(id)->load;
    const auto now = m_clock.now();
    if (outcome == AttemptOutcome::Refused)
        load.avoidUntil = now + refusedAvoidance;
    if (outcome == AttemptOutcome::Unreachable) {
        load.avoidUntil = now + unreachableAvoidance;
        load.unreachableAt = now;
    }
    if (outcome == AttemptOutcome::Served && load.avoidUntil && hadFirstResponse)
        load.avoidUntil.reset();
    if (outcome == AttemptOutcome::Served || outcome == AttemptOutcome::Failed
        || outcome == AttemptOutcome::Unreachable) {
        const double share = failureShare(id);
        const double sample = outcome == AttemptOutcome::Served ? 0 : 1;
        load.failureShare = share + failureWeight * (sample - share);
        load.failureAt = now;
    }
}

void UpstreamLoads::recordPrefix(const std::string& id, const std::string& key)
{
    auto& prefixes = recordOf(id)->prefixes;
    prefixes[key] = m_clock.now();
    if (prefixes.size() > prefixesPerUpstream)
        dropOldest(prefixes);
}

bool UpstreamLoads::hasPrefix(const std::string& id, const std::string& key) const
{
    auto it = m_records.find(id);
    if (it == m_records.end())
        return false;
    auto prefix = it->second->prefixes.find(key);
    return prefix != it->second->prefixes.end() && m_clock.now() - prefix->second < prefixLifetime;
}

unsigned UpstreamLoads::inFlight(const std::string& id) const
{
    const auto* load = find(id);
    return load ? load->inFlight : 0;
}

double UpstreamLoads::estimatedRequests(const std::string& id) const
{
    const auto* load = find(id);
    if (!load)
        return 0;
    double others = 0;
    if (load->reportedAt) {
        const double total = load->reported.running + load->reported.waiting;
        others = std::max(0.0, total - load->inFlightWhenReported)
            * decayFactor(m_clock.now() - *load->reportedAt, loadDecayTime);
    }
    return load->inFlight + others;
}

std::chrono::nanoseconds UpstreamLoads::queueingDelay(const std::string& id, unsigned urgency) const
{
    const auto* load = find(id);
    if (!load)
        return {};
    const auto now = m_clock.now();
    const auto isOvertaken = [&](unsigned ofUrgency, SteadyTime due) {
        return std::any_of(load->answered.lower_bound(ofUrgency), load->answered.end(),
            [due](const auto& it) { return it.second > due; });
    };
    auto earliest = now;
    for (const auto& [otherUrgency, due] : load->unanswered) {
        if (otherUrgency > urgency)
            break;
        if (due < earliest && !isOvertaken(otherUrgency, due))
            earliest = due;
    }
    return now - earliest;
}

double UpstreamLoads::failureShare(const std::string& id) const
{
    const auto* load = find(id);
    if (!load || !load->failureAt)
        return 0;
    return load->failureShare * decayFactor(m_clock.now() - *load->failureAt, failureDecayTime);
}

std::vector<std::string> UpstreamLoads::unreachable(std::chrono::nanoseconds within) const
{
    std::vector<std::string> out;
    for (const auto& [id, record] : m_records) {
        if (record->load.unreachableAt && m_clock.now() - *record->load.unreachableAt < within)
            out.push_back(id);
    }
    return out;
}

bool UpstreamLoads::isAvoided(const std::string& id) const
{
    const auto* load = find(id);
    return load && load->avoidUntil && *load->avoidUntil > m_clock.now();
}

double UpstreamLoads::prefillBacklog(const std::string& id) const
{
    const auto* load = find(id);
    return load ? load->prefillBacklog : 0;
}

std::size_t UpstreamLoads::dropStuck(std::chrono::nanoseconds age)
{
    std::vector<std::pair<Record*, std::uint64_t>> stuck;
    for (const auto& [id, record] : m_records) {
        for (const auto& [number, open] : record->open) {
            if (m_clock.now() - open.request.sent > age)
                stuck.emplace_back(record.get(), number);
        }
    }
    for (const auto& [record, number] : stuck)
        close(*record, number);
    return stuck.size();
}

void UpstreamLoads::retain(const UpstreamDirectory& directory)
{
    std::erase_if(
        m_records, [&](const auto& it) { return it.second->load.inFlight == 0 && !directory.find(it.first); });
}

} // namespace bulrushstack
