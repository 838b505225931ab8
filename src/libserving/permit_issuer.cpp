#include "bulrushstack/serving/permit_issuer.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

/// Lowest rate of permits. Only a response can end a limit, so that an upstream that accepts nothing still gets a
/// request now and then.
constexpr double minRequestsPerSecond = 0.1;
/// Permits are issued in the proportions of the limit over this time.
constexpr Seconds burstPeriod { 0.5 };
constexpr std::chrono::milliseconds minRetryAfter { 5 };
/// Bounds the time for which an instance does not notice that a limit was raised.
constexpr std::chrono::milliseconds maxRetryAfter { 2000 };
/// Time after a denied request for which an upstream counts as exhausted. It is longer than maxRetryAfter, so that an
/// upstream stays exhausted while the demand exceeds its limit.
constexpr std::chrono::seconds exhaustionMemory { 4 };
/// Time without requests for permits after which a bucket is dropped. It is longer than maxRetryAfter.
constexpr std::chrono::seconds bucketLifetime { 10 };

} // namespace

PermitIssuer::PermitIssuer(const Clock& clock)
    : m_clock(clock)
{
}

double PermitIssuer::burst(double requestsPerSecond) { return 1 + requestsPerSecond * burstPeriod.count(); }

PermitIssuer::Bucket& PermitIssuer::bucketOf(const PermitRequest& request)
{
    const auto now = m_clock.now();
    const auto [it, isNew] = m_buckets.try_emplace({ request.upstream, request.startedAt });
    auto& bucket = it->second;
    if (isNew)
        bucket.refilledAt = now;
    const double elapsed = Seconds(now - bucket.refilledAt).count();
    bucket.tokens += elapsed * bucket.requestsPerSecond;
    bucket.refilledAt = now;
    const auto statedAt = now - request.age;
    if (isNew || statedAt >= bucket.statedAt) {
        bucket.requestsPerSecond = std::max(minRequestsPerSecond, request.requestsPerSecond);
        bucket.statedAt = statedAt;
    }
    bucket.tokens = std::min(bucket.tokens, burst(bucket.requestsPerSecond));
    return bucket;
}

PermitReply PermitIssuer::issue(const PermitRequest& request)
{
    dropUnused();
    auto& bucket = bucketOf(request);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        bucket.denials = 0;
        return { .isGranted = true };
    }
    // Each further instance is told to come one permit later, so that they do not all ask for the same one.
    const Seconds delay { (1 - bucket.tokens + bucket.denials) / bucket.requestsPerSecond };
    ++bucket.denials;
    bucket.deniedAt = m_clock.now();
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(std::min<Seconds>(delay, maxRetryAfter));
    return { .retryAfter = std::max(minRetryAfter, retryAfter) };
}

bool PermitIssuer::isExhausted(const std::string& upstream, std::uint64_t startedAt) const
{
    const auto it = m_buckets.find({ upstream, startedAt });
    return it != m_buckets.end() && it->second.deniedAt && m_clock.now() - *it->second.deniedAt < exhaustionMemory;
}

void PermitIssuer::dropUnused()
{
    const auto now = m_clock.now();
    std::erase_if(m_buckets, [now](const auto& it) { return now - it.second.refilledAt > bucketLifetime; });
}

} // namespace bulrushstack
