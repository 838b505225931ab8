#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace bulrushstack::detail {

/// The ids of the requests that were sent on one connection, in bounded memory.
///
/// Ids are kept as hashes. Two ids with the same hash count as one, which only costs a connection.
class SentRequestIds {
public:
    /// Number of ids that are kept. A connection with as many is not used again.
    static constexpr std::size_t capacity = 1024;

    /// Adds an id; an empty one is ignored.
    void add(std::string_view id);

    bool contains(std::string_view id) const;
    bool isFull() const { return m_hashes.size() >= capacity; }

private:
    std::vector<std::size_t> m_hashes;
};

} // namespace bulrushstack::detail
