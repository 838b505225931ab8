#include "prefix_cache.h"

#include "bulrushstack/kernel/ids.h"

#include <algorithm>
#include <sstream>

namespace bulrushstack::standins {

using json = nlohmann::json;

PrefixCache::PrefixCache(PrefixCacheOptions options)
    : m_options(options)
{
}

std::vector<std::string> PrefixCache::blockNames(
    std::string_view salt, std::string_view model, const std::vector<std::string>& tokens)
{
    std::vector<std::string> out;
    std::string name = sha256Hex(std::string(salt) + "\n" + std::string(model)).substr(0, 16);
    for (std::size_t i = 0; i + blockTokens <= tokens.size(); i += blockTokens) {
        std::string text;
        for (std::size_t k = i; k < i + blockTokens; ++k)
            text += (k == i ? "" : " ") + tokens[k];
        name = sha256Hex(name + text).substr(0, 16);
        out.push_back(name);
    }
    return out;
}

std::size_t PrefixCache::lookUp(const std::vector<std::string>& blocks)
{
    std::size_t n = 0;
    for (const auto& it : blocks) {
        const auto block = m_blocks.find(it);
        if (block == m_blocks.end())
            break;
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, block->second.lruPosition);
        ++n;
    }
    return n;
}

void PrefixCache::insert(std::string_view salt, std::string_view model, const std::vector<std::string>& blocks)
{
    std::string parent;
    for (const auto& it : blocks) {
        if (!m_blocks.contains(it)) {
            while (!m_lruOrder.empty() && (m_blocks.size() + 1) * blockTokens > m_options.capacity)
                evict(std::string(m_lruOrder.front()));
            if (blockTokens > m_options.capacity)
                return;
            const auto lruPosition = m_lruOrder.insert(m_lruOrder.end(), it);
            m_blocks[it] = Block { std::string(salt), std::string(model), parent, lruPosition };
            recordEvent("add", std::string(model), it);
        }
        parent = it;
    }
}

std::vector<std::string> PrefixCache::findChain(
    std::string_view salt, std::string_view model, const std::string& prefix) const
{
    std::vector<std::string> out;
    for (std::string name = prefix; !name.empty();) {
        const auto it = m_blocks.find(name);
        if (it == m_blocks.end() || it->second.salt != salt || it->second.model != model)
            return {};
        out.insert(out.begin(), name);
        name = it->second.parent;
    }
    return out;
}

void PrefixCache::removeModel(std::string_view model)
{
    std::vector<std::string> names;
    for (const auto& [name, block] : m_blocks) {
        if (block.model == model)
            names.push_back(name);
    }
    for (const auto& it : names)
        evict(it);
}

json PrefixCache::eventsAfter(std::uint64_t sequence, SteadyTime now) const
{
    json events = json::array();
    std::uint64_t next = sequence;
    for (const auto& it : m_events) {
        if (it.at + m_options.eventLag > now)
            break;
        if (it.sequence <= sequence)
            continue;
        next = it.sequence;
        if (m_options.eventGapEvery == 0 || it.sequence % m_options.eventGapEvery != 0)
            events.push_back(
                { { "seq", it.sequence }, { "op", it.operation }, { "model", it.model }, { "prefix", it.prefix } });
    }
    return { { "events", std::move(events) }, { "next", next } };
}

void PrefixCache::evict(const std::string& name)
{
    const auto it = m_blocks.find(name);
    const auto model = it->second.model;
    m_lruOrder.erase(it->second.lruPosition);
    m_blocks.erase(it);
    recordEvent("evict", model, name);
}

void PrefixCache::recordEvent(const char* operation, const std::string& model, const std::string& prefix)
{
    static constexpr std::size_t maxRetainedEvents = 10000;
    m_events.push_back({ ++m_sequence, std::chrono::steady_clock::now(), operation, model, prefix });
    if (m_events.size() > maxRetainedEvents)
        m_events.pop_front();
}

std::vector<std::string> tokenize(const std::string& prompt)
{
    std::istringstream in(prompt);
    std::vector<std::string> out;
    for (std::string word; in >> word;)
        out.push_back(word);
    return out;
}

} // namespace bulrushstack::standins
