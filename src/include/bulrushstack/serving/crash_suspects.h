#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/recently_served.h"
#include "bulrushstack/serving/serving_request.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushstack {

enum class SuspectKind {
    PromptPart, ///< all requests that contain the prompt part
    Request, ///< one request, identified by its digest (see requestDigest()), however often it is sent
};

std::string_view toString(SuspectKind kind);

/// What may crash the upstreams that run it.
struct SuspectId {
    SuspectKind kind = SuspectKind::Request;
    std::string id; ///< id of the prompt part, or digest of the request

    friend auto operator<=>(const SuspectId&, const SuspectId&) = default;
};

/// Something that was in progress on an upstream when it crashed.
///
/// The flags are only ever set, and the number of trials only rises. Together with the union of the suspects this makes
/// it possible to merge what several instances know of a crash in any order and any number of times.
struct CrashSuspect {
    SuspectId suspect;
    /// Position in the prompt; the request itself comes after all parts. A later position is shared by fewer requests.
    unsigned depth = 0;
    bool wasServedBefore = false; ///< whether a request with it was served shortly before the crash
    bool isCleared = false; ///< whether a request with it was served after the crash
    unsigned trials = 0; ///< requests with it that were let through although it is quarantined

    friend bool operator==(const CrashSuspect&, const CrashSuspect&) = default;
};

/// A crash of one process of an upstream, and all that may have caused it.
struct UpstreamCrash {
    std::string upstream;
    std::uint64_t startedAt = 0; ///< start time of the process, in Unix milliseconds
    std::chrono::milliseconds age {}; ///< time since the crash was first noticed
    std::vector<CrashSuspect> suspects;

    friend bool operator==(const UpstreamCrash&, const UpstreamCrash&) = default;
};

/// What a quarantine rests on, and how it was tested so far.
struct QuarantineState {
    unsigned crashes = 0; ///< crashes that the suspect explains
    unsigned separateCrashes = 0; ///< the same without those that may have a common cause with another one
    bool wasServedBefore = false; ///< whether the suspect was served shortly before one of the crashes
    SteadyTime firstCrash {};
    SteadyTime lastCrash {};
    unsigned trials = 0;
    SteadyTime nextTrial = SteadyTime::max(); ///< time from which another trial is due

    friend bool operator==(const QuarantineState&, const QuarantineState&) = default;
};

/// Returns all that the request contains and that may crash an upstream: the prompt parts that it may share with other
/// requests, which are all but the last one, and the request itself.
std::vector<CrashSuspect> suspectsOf(const ServingRequest& request, std::string digest);

/// Finds out what crashes upstreams, from the requests that were in progress on them, and quarantines it, since each
/// retry would crash another upstream.
///
/// A crash makes everything suspect that was in progress on the upstream; a request that is served afterwards clears
/// what it contains. What remains in several crashes is quarantined, beginning with the suspect that explains the most
/// of them. A crash that a quarantined suspect explains does not count against any other one, so that requests which
/// merely share a prompt part with a crashing one are not refused. Performs no I/O.
///
/// What many requests share is in progress on many upstreams, so that it is in each crash, whatever its cause. Two
/// rules keep such crashes from counting as evidence: crashes that may have a common cause count once, and what was
/// served shortly before needs more of them.
///
/// Evidence that is wrong all the same would last, since nothing that is quarantined is served and cleared. Therefore a
/// few single requests are let through as trials, at growing intervals: one that is served ends the quarantine.
class CrashSuspects {
public:
    explicit CrashSuspects(const Clock& clock);

    /// Adds suspects of a crash that this instance has seen.
    void recordCrash(const std::string& upstream, std::uint64_t startedAt, const std::vector<CrashSuspect>& suspects);

    /// Clears what a served request contains of all crashes known so far.
    void recordServed(const std::vector<CrashSuspect>& contents);

    /// Merges what another instance knows. Idempotent.
    void merge(const std::vector<UpstreamCrash>& crashes);

    /// Returns the first quarantined suspect among the contents of a request; empty if the request may run.
    std::optional<SuspectId> findQuarantined(const std::vector<CrashSuspect>& contents) const;

    /// Returns all quarantined suspects among the contents of a request.
    std::vector<SuspectId> quarantinedAmong(const std::vector<CrashSuspect>& contents) const;

    /// Returns whether all these suspects are quarantined and one request with them may be let through as a trial.
    bool isTrialDue(const std::vector<SuspectId>& suspects) const;

    /// Records that a request with these suspects was sent to an upstream as a trial.
    void recordTrial(const std::vector<SuspectId>& suspects);

    /// Returns all that this instance knows, to be merged by the others.
    std::vector<UpstreamCrash> crashes() const;

    /// Returns the crashes that the quarantined suspects explain, without other suspects. Merged elsewhere, they lead
    /// to the same quarantine.
    std::vector<UpstreamCrash> quarantineEvidence() const;

    /// Returns a hash of what crashes() returns except the ages. Instances with equal fingerprints need not exchange
    /// their crashes.
    std::uint64_t fingerprint() const { return m_fingerprint; }

    /// Returns what is quarantined.
    const std::map<SuspectId, QuarantineState>& quarantined() const { return m_quarantined; }

private:
    using CrashKey = std::pair<std::string, std::uint64_t>;

    struct SuspectState {
        unsigned depth = 0;
        bool wasServedBefore = false;
        bool isCleared = false;
        unsigned trials = 0;
        SteadyTime lastTrial {}; ///< time at which this instance heard of the last trial

        void recordTrials(unsigned n, SteadyTime now);
    };

    struct Crash {
        SteadyTime firstSeen {};
        std::map<SuspectId, SuspectState> suspects;
    };

    using Crashes = std::map<CrashKey, Crash>;

    /// The crashes that a suspect would explain.
    struct Explanation {
        unsigned depth = 0;
        bool wasServedBefore = false;
        unsigned trials = 0;
        SteadyTime lastTrial {};
        std::vector<const Crashes::value_type*> crashes;

        bool isSufficient(SuspectKind kind) const;
        bool isBetterThan(const Explanation& other) const;
        unsigned separateCrashes() const;
        QuarantineState quarantineState() const;
        SteadyTime nextTrial(SteadyTime lastCrash) const;
    };

    Crash& findOrAddCrash(const CrashKey& key, SteadyTime firstSeen);
    void addSuspect(Crash& crash, const CrashSuspect& suspect);
    void removeExpired();
    void removeLeastUsefulCrash();
    RecentlyServed& recentlyServed(SuspectKind kind);
    bool isExplained(const Crash& crash) const;
    void update();
    void updateQuarantine();
    void updateFingerprint();

    const Clock& m_clock;
    Crashes m_crashes;
    RecentlyServed m_servedParts;
    RecentlyServed m_servedRequests; ///< kept apart, since most requests are unique and would displace the parts
    std::map<SuspectId, QuarantineState> m_quarantined;
    SteadyTime m_quarantineEnd {}; ///< when the last of the crashes expires
    std::uint64_t m_fingerprint = 0;
};

} // namespace bulrushstack
