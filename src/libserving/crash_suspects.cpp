#include "bulrushstack/serving/crash_suspects.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace bulrushstack {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Number of separate crashes after which a request is quarantined.
constexpr unsigned requestThreshold = 2;
/// The same for a prompt part, which more requests share.
constexpr unsigned partThreshold = 3;
/// The same for what was served shortly before, which is more likely to be innocent.
constexpr unsigned servedThreshold = 5;
/// Crashes of several upstreams within this time count once, since they may have a common cause such as the loss of a
/// rack.
constexpr milliseconds commonCauseInterval { 50 };
/// The same for what was served shortly before: if it is in constant use, it is in progress on many upstreams, and
/// several of them may fail within a second.
constexpr milliseconds servedCommonCauseInterval { 500 };
/// Time before a crash in which what was served counts as served before.
constexpr std::chrono::seconds servedBeforePeriod { 60 };
/// Time after which a crash that a quarantined suspect explains is forgotten.
constexpr std::chrono::minutes quarantineLifetime { 10 };
/// The same for other crashes, most of which have another cause.
constexpr std::chrono::minutes crashLifetime { 3 };
/// Time from the last crash to the first trial, by when upstreams that failed for another reason are back.
constexpr std::chrono::seconds trialDelay { 15 };
/// The same for what was served shortly before, which is more likely to be innocent.
constexpr std::chrono::seconds servedTrialDelay { 5 };
constexpr unsigned trialDelayFactor = 4; ///< growth of the delay from one trial to the next
/// Trials of one suspect. Each may cost an upstream and all that it runs.
constexpr unsigned trialLimit = 2;
/// Larger than the number of upstreams that a disruption takes at once, since instances that keep different crashes
/// would exchange them again and again.
constexpr std::size_t crashLimit = 128;
constexpr std::size_t suspectLimit = 256; ///< per crash
/// Served parts and requests that are remembered, each.
constexpr std::size_t servedLimit = 2048;

} // namespace

std::string_view toString(SuspectKind kind) { return kind == SuspectKind::PromptPart ? "prompt-part" : "request"; }

std::vector<CrashSuspect> suspectsOf(const ServingRequest& request, std::string digest)
{
    std::vector<CrashSuspect> out;
    for (unsigned i = 0; i + 1 < request.prompt.size(); ++i)
        out.push_back({ .suspect = { SuspectKind::PromptPart, request.prompt[i].id }, .depth = i });
    const auto depth = static_cast<unsigned>(request.prompt.size());
    out.push_back({ .suspect = { SuspectKind::Request, std::move(digest) }, .depth = depth });
    return out;
}

/// Returns the number of crashes without those that may have a common cause with an earlier one. Two crashes of the
/// same upstream have none, since its process started again in between.
unsigned CrashSuspects::Explanation::separateCrashes() const
{
    auto inOrder = crashes;
    std::sort(inOrder.begin(), inOrder.end(),
        [](const auto* a, const auto* b) { return a->second.firstSeen < b->second.firstSeen; });
    const auto interval = wasServedBefore ? servedCommonCauseInterval : commonCauseInterval;
    unsigned n = 0;
    SteadyTime begin {};
    std::set<std::string_view> upstreams; // those that crashed since
    for (const auto* it : inOrder) {
        const auto& [upstream, startedAt] = it->first;
        const bool isNew = upstreams.insert(upstream).second;
        if (n > 0 && isNew && it->second.firstSeen - begin < interval)
            continue;
        begin = it->second.firstSeen;
        upstreams = { upstream };
        ++n;
    }
    return n;
}

bool CrashSuspects::Explanation::isSufficient(SuspectKind kind) const
{
    const auto threshold = kind == SuspectKind::Request ? requestThreshold : partThreshold;
    return separateCrashes() >= (wasServedBefore ? servedThreshold : threshold);
}

void CrashSuspects::SuspectState::recordTrials(unsigned n, SteadyTime now)
{
    if (n <= trials)
        return;
    trials = n;
    lastTrial = now;
}

QuarantineState CrashSuspects::Explanation::quarantineState() const
{
    const auto isEarlier = [](const auto* a, const auto* b) { return a->second.firstSeen < b->second.firstSeen; };
    const auto [first, last] = std::minmax_element(crashes.begin(), crashes.end(), isEarlier);
    return { .crashes = static_cast<unsigned>(crashes.size()),
        .separateCrashes = separateCrashes(),
        .wasServedBefore = wasServedBefore,
        .firstCrash = (*first)->second.firstSeen,
        .lastCrash = (*last)->second.firstSeen,
        .trials = trials,
        .nextTrial = nextTrial((*last)->second.firstSeen) };
}

SteadyTime CrashSuspects::Explanation::nextTrial(SteadyTime lastCrash) const
{
    if (trials >= trialLimit)
        return SteadyTime::max();
    auto delay = wasServedBefore ? servedTrialDelay : trialDelay;
    for (unsigned i = 0; i < trials; ++i)
        delay *= trialDelayFactor;
    return std::max(lastCrash, lastTrial) + delay;
}

bool CrashSuspects::Explanation::isBetterThan(const Explanation& other) const
{
    if (wasServedBefore != other.wasServedBefore)
        return !wasServedBefore;
    if (crashes.size() != other.crashes.size())
        return crashes.size() > other.crashes.size();
    return depth > other.depth;
}

CrashSuspects::CrashSuspects(const Clock& clock)
    : m_clock(clock)
    , m_servedParts(clock, { .period = servedBeforePeriod, .limit = servedLimit })
    , m_servedRequests(clock, { .period = servedBeforePeriod, .limit = servedLimit })
{
}

void CrashSuspects::recordCrash(
    const std::string& upstream, std::uint64_t startedAt, const std::vector<CrashSuspect>& suspects)
{
    removeExpired();
    auto& crash = findOrAddCrash({ upstream, startedAt }, m_clock.now());
    for (const auto& it : suspects)
        addSuspect(crash, it);
    update();
}

void CrashSuspects::recordServed(const std::vector<CrashSuspect>& contents)
{
    bool isChanged = false;
    for (const auto& content : contents) {
        recentlyServed(content.suspect.kind).record(content.suspect.id);
        for (auto& [key, crash] : m_crashes) {
            auto it = crash.suspects.find(content.suspect);
            if (it == crash.suspects.end() || it->second.isCleared)
                continue;
            it->second.isCleared = true;
            isChanged = true;
        }
    }
    if (isChanged)
        update();
}

void CrashSuspects::merge(const std::vector<UpstreamCrash>& crashes)
{
    if (crashes.empty())
        return;
    removeExpired();
    for (const auto& it : crashes) {
        if (it.age < milliseconds(0) || it.age >= quarantineLifetime)
            continue;
        auto& crash = findOrAddCrash({ it.upstream, it.startedAt }, m_clock.now() - it.age);
        for (const auto& suspect : it.suspects)
            addSuspect(crash, suspect);
    }
    update();
}

std::optional<SuspectId> CrashSuspects::findQuarantined(const std::vector<CrashSuspect>& contents) const
{
    const auto suspects = quarantinedAmong(contents);
    return suspects.empty() ? std::nullopt : std::optional(suspects.front());
}

std::vector<SuspectId> CrashSuspects::quarantinedAmong(const std::vector<CrashSuspect>& contents) const
{
    std::vector<SuspectId> out;
    if (m_quarantined.empty() || m_clock.now() >= m_quarantineEnd)
        return out;
    for (const auto& it : contents) {
        if (m_quarantined.count(it.suspect) > 0)
            out.push_back(it.suspect);
    }
    return out;
}

bool CrashSuspects::isTrialDue(const std::vector<SuspectId>& suspects) const
{
    return std::all_of(suspects.begin(), suspects.end(), [this](const SuspectId& suspect) {
        const auto it = m_quarantined.find(suspect);
        return it != m_quarantined.end() && it->second.nextTrial <= m_clock.now();
    });
}

void CrashSuspects::recordTrial(const std::vector<SuspectId>& suspects)
{
    for (const auto& suspect : suspects) {
        const auto quarantined = m_quarantined.find(suspect);
        if (quarantined == m_quarantined.end())
            continue;
        for (auto& [key, crash] : m_crashes) {
            const auto it = crash.suspects.find(suspect);
            if (it != crash.suspects.end())
                it->second.recordTrials(quarantined->second.trials + 1, m_clock.now());
        }
    }
    update();
}

std::vector<UpstreamCrash> CrashSuspects::crashes() const
{
    std::vector<UpstreamCrash> out;
    out.reserve(m_crashes.size());
    for (const auto& [key, crash] : m_crashes) {
        UpstreamCrash item { .upstream = key.first,
            .startedAt = key.second,
            .age = duration_cast<milliseconds>(m_clock.now() - crash.firstSeen) };
        for (const auto& [id, state] : crash.suspects)
            item.suspects.push_back({ .suspect = id,
                .depth = state.depth,
                .wasServedBefore = state.wasServedBefore,
                .isCleared = state.isCleared,
                .trials = state.trials });
        out.push_back(std::move(item));
    }
    return out;
}

std::vector<UpstreamCrash> CrashSuspects::quarantineEvidence() const
{
    auto out = crashes();
    for (auto& crash : out) {
        std::erase_if(crash.suspects,
            [this](const CrashSuspect& it) { return it.isCleared || m_quarantined.count(it.suspect) == 0; });
    }
    std::erase_if(out, [](const UpstreamCrash& it) { return it.suspects.empty(); });
    return out;
}

/// Returns the record of the crash. The earliest time at which any instance noticed it is kept.
CrashSuspects::Crash& CrashSuspects::findOrAddCrash(const CrashKey& key, SteadyTime firstSeen)
{
    auto it = m_crashes.find(key);
    if (it == m_crashes.end()) {
        if (m_crashes.size() >= crashLimit)
            removeLeastUsefulCrash();
        it = m_crashes.emplace(key, Crash { .firstSeen = firstSeen, .suspects = {} }).first;
    }
    it->second.firstSeen = std::min(it->second.firstSeen, firstSeen);
    return it->second;
}

void CrashSuspects::addSuspect(Crash& crash, const CrashSuspect& suspect)
{
    if (crash.suspects.size() >= suspectLimit && crash.suspects.count(suspect.suspect) == 0)
        return;
    auto& state = crash.suspects[suspect.suspect];
    state.depth = std::max(state.depth, suspect.depth);
    state.wasServedBefore = state.wasServedBefore || suspect.wasServedBefore;
    state.isCleared = state.isCleared || suspect.isCleared;
    state.recordTrials(suspect.trials, m_clock.now());
    const auto served = recentlyServed(suspect.suspect.kind).find(suspect.suspect.id);
    if (!served)
        return;
    if (*served >= crash.firstSeen)
        state.isCleared = true;
    else if (crash.firstSeen - *served < servedBeforePeriod)
        state.wasServedBefore = true;
}

bool CrashSuspects::isExplained(const Crash& crash) const
{
    return std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto& it) {
        const auto suspect = crash.suspects.find(it.first);
        return suspect != crash.suspects.end() && !suspect->second.isCleared;
    });
}

void CrashSuspects::removeExpired()
{
    std::erase_if(m_crashes, [&](const auto& it) {
        const auto age = m_clock.now() - it.second.firstSeen;
        return age >= quarantineLifetime || (age >= crashLifetime && !isExplained(it.second));
    });
}

/// Removes the oldest crash that no quarantined suspect explains, or else the oldest one.
void CrashSuspects::removeLeastUsefulCrash()
{
    m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), [&](const auto& a, const auto& b) {
        return std::pair(isExplained(a.second), a.second.firstSeen)
            < std::pair(isExplained(b.second), b.second.firstSeen);
    }));
}

RecentlyServed& CrashSuspects::recentlyServed(SuspectKind kind)
{
    return kind == SuspectKind::PromptPart ? m_servedParts : m_servedRequests;
}

void CrashSuspects::update()
{
    updateQuarantine();
    updateFingerprint();
}

void CrashSuspects::updateQuarantine()
{
    m_quarantined.clear();
    std::vector<const Crashes::value_type*> unexplained;
    unexplained.reserve(m_crashes.size());
    for (const auto& it : m_crashes) {
        unexplained.push_back(&it);
        m_quarantineEnd = std::max(m_quarantineEnd, it.second.firstSeen + quarantineLifetime);
    }
    for (;;) {
        std::map<SuspectId, Explanation> explanations;
        for (const auto* crash : unexplained) {
            for (const auto& [id, state] : crash->second.suspects) {
                if (state.isCleared)
                    continue;
                auto& explanation = explanations[id];
                explanation.depth = std::max(explanation.depth, state.depth);
                explanation.wasServedBefore = explanation.wasServedBefore || state.wasServedBefore;
                explanation.trials = std::max(explanation.trials, state.trials);
                explanation.lastTrial = std::max(explanation.lastTrial, state.lastTrial);
                explanation.crashes.push_back(crash);
            }
        }
        std::erase_if(explanations, [](const auto& it) { return !it.second.isSufficient(it.first.kind); });
        if (explanations.empty())
            return;
        const auto best = std::max_element(explanations.begin(), explanations.end(),
            [](const auto& a, const auto& b) { return b.second.isBetterThan(a.second); });
        const auto& explained = best->second.crashes;
        m_quarantined[best->first] = best->second.quarantineState();
        std::erase_if(unexplained,
            [&](const auto* it) { return std::find(explained.begin(), explained.end(), it) != explained.end(); });
    }
}

void CrashSuspects::updateFingerprint()
{
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    const auto add = [&](const void* data, std::size_t size) { XXH3_64bits_update(&state, data, size); };
    const auto addText = [&](const std::string& text) { add(text.c_str(), text.size() + 1); };
    for (const auto& [key, crash] : m_crashes) {
        addText(key.first);
        add(&key.second, sizeof(key.second));
        for (const auto& [id, suspect] : crash.suspects) {
            addText(id.id);
            const std::uint32_t fields[] = { static_cast<std::uint32_t>(id.kind), suspect.depth,
                static_cast<std::uint32_t>(suspect.wasServedBefore), static_cast<std::uint32_t>(suspect.isCleared) };
            add(fields, sizeof(fields));
            // Instances of the previous version know no trials; without any, the fingerprints are the same.
            if (suspect.trials > 0)
                add(&suspect.trials, sizeof(suspect.trials));
        }
    }
    m_fingerprint = m_crashes.empty() ? 0 : XXH3_64bits_digest(&state);
}

} // namespace bulrushstack
