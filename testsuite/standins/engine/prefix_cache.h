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
    std::size_t capacity = 0; ///< tokens
    std::chrono::nanoseconds eventLag {};
    std::uint64_t eventGapEvery = 0; ///< every n-th event is never published; zero: none
};

/// Prefix cache of an engine: blocks of prompt words, evicted least recently used first.
///
/// A block is named by a chain: the first 16 hexadecimal digits of SHA-256 over the name of the block before it and
/// its words joined by spaces; the chain begins with the digest of salt, line feed and model.
class PrefixCache {
public:
    static constexpr std::size_t blockTokens = 16;

    explicit PrefixCache(PrefixCacheOptions options);

    /// Returns the names of the whole blocks of the prompt.
    static std::vector<std::string> blockNames(
        std::string_view salt, std::string_view model, const std::vector<std::string>& tokens);

    /// Returns how many leading blocks are held, and marks them as used.
    std::size_t lookUp(const std::vector<std::string>& blocks);

    /// Adds the blocks.
    void insert(std::string_view salt, std::string_view model, const std::vector<std::string>& blocks);

    /// Returns the chain of names that ends with the prefix; empty if it is not held for the salt and the model.
    std::vector<std::string> findChain(std::string_view salt, std::string_view model, const std::string& prefix) const;

    /// Drops the blocks of a model that was unloaded.
    void removeModel(std::string_view model);

    /// Returns the answer to GET /cache/events at the given time.
    nlohmann::json eventsAfter(std::uint64_t sequence, SteadyTime now) const;

private:
    struct Block {
        std::string salt;
        std::string model;
        std::string parent; ///< empty for the first block
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
    std::list<std::string> m_lruOrder; ///< least recently used first
    std::deque<Event> m_events;
    std::uint64_t m_sequence = 0;
};

/// Splits a prompt into its words, which stand for tokens.
std::vector<std::string> tokenize(const std::string& prompt);

} // namespace bulrushstack::standins
