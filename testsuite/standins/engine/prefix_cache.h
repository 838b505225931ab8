#pragma once

#include "bulrushstack/kernel/clock.h"

#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack::standins {

struct PrefixCacheOptions {
    std::size_t capacity = 0; ///< maximum number of cached tokens
    std::chrono::nanoseconds eventLag {}; ///< delay before an event is published
    std::uint64_t eventGapEvery = 0; ///< every n-th event is never published; zero: all are published
};

/// Prefix cache of an engine: fixed-size blocks of prompt tokens with LRU eviction.
///
/// The name of a block identifies the whole prefix up to it. It is the first 16 hexadecimal digits of the SHA-256 of
/// the name of the preceding block, followed by the words of this block joined by spaces. The first block uses the
/// digest of salt, line feed and model in place of a preceding name.
class PrefixCache {
public:
    static constexpr std::size_t blockTokens = 16;

    explicit PrefixCache(PrefixCacheOptions options);

    /// Returns the names of the complete blocks of the prompt. Tokens after the last complete block are not cached.
    static std::vector<std::string> blockNames(
        std::string_view salt, std::string_view model, const std::vector<std::string>& tokens);

    /// Returns the number of leading blocks that are cached, and marks them as recently used.
    std::size_t lookUp(const std::vector<std::string>& blocks);

    /// Adds the blocks that are missing and evicts the least recently used ones if the capacity is exceeded.
    void insert(std::string_view salt, std::string_view model, const std::vector<std::string>& blocks);

    /// Returns the names of all blocks from the first one to the block named `prefix`. Returns an empty vector if one
    /// of them is not cached for the salt and the model.
    std::vector<std::string> findChain(std::string_view salt, std::string_view model, const std::string& prefix) const;

    /// Evicts all blocks of a model, which has been unloaded.
    void removeModel(std::string_view model);

    /// Returns the response body of GET /cache/events: the events after the sequence number that are published at
    /// `now`.
    nlohmann::json eventsAfter(std::uint64_t sequence, SteadyTime now) const;

private:
    struct Block {
        std::string salt;
        std::string model;
        std::string parent; ///< name of the preceding block; empty for the first block
        std::list<std::string>::iterator lruPosition;
    };

    struct Event {
        std::uint64_t sequence = 0;
        SteadyTime at {};
        const char* operation = "";
        std::string model;
        std::string prefix;
    };

    void evict(const std::string& name);
    void recordEvent(const char* operation, const std::string& model, const std::string& prefix);

    PrefixCacheOptions m_options;
    std::map<std::string, Block> m_blocks;
    std::list<std::string> m_lruOrder; ///< block names, least recently used first
    std::deque<Event> m_events;
    std::uint64_t m_sequence = 0;
};

/// Splits a prompt into words. The stand-in engine counts each word as one token.
std::vector<std::string> tokenize(const std::string& prompt);

} // namespace bulrushstack::standins
