#pragma once

#include "journal.h"

#include <deque>
#include <map>
#include <string>

namespace bulrushstack {

/// Registry of the attempts of this instance. An attempt that was reported as refused to another instance must never be
/// dispatched, because that instance may claim the row and run the request itself. All methods must be called on the
/// same thread.
class AttemptRegistry {
public:
    /// `endedLimit` is the number of attempts that are remembered after their end. A forgotten attempt is reported as
    /// Unknown, upon which the querying instance responds with may-have-run and does not run the request.
    explicit AttemptRegistry(std::size_t endedLimit);

    /// Registers an attempt. Must be called before the write that claims its row.
    void begin(const std::string& attempt);

    /// Marks the attempt as dispatched and returns true; returns false if it was reported as refused and must not be
    /// dispatched.
    bool tryDispatch(const std::string& attempt);

    /// Ends an attempt. Its final state, Refused or Finished, is remembered; with Unknown the attempt is forgotten.
    void end(const std::string& attempt, AttemptState state);

    /// Returns the state of an attempt for a journal-query. An attempt whose claim has not been acknowledged yet
    /// becomes Refused by the query.
    AttemptState query(const std::string& attempt);

    /// Returns the number of attempts that have not ended.
    std::size_t activeCount() const { return m_active.size(); }

private:
    enum class Phase {
        Claiming,
        Refused,
        Dispatched,
    };

    std::size_t m_endedLimit;
    std::map<std::string, Phase> m_active;
    std::map<std::string, AttemptState> m_ended;
    std::deque<std::string> m_endOrder; ///< oldest first
};

} // namespace bulrushstack
