#pragma once

#include "journal.h"

#include <deque>
#include <map>
#include <string>

namespace bulrushstack {

/// What this instance knows of its own attempts. Decides whether an attempt may be dispatched: an attempt that was
/// refused to another instance never is. All methods run on one thread.
class AttemptRegistry {
public:
    /// `limit` bounds the attempts that are remembered after their end. A forgotten attempt is answered as unknown,
    /// which makes the asker report may-have-run and never lets it run the request.
    explicit AttemptRegistry(std::size_t endedLimit);

    /// Registers an attempt before the write that claims its row.
    void begin(const std::string& attempt);

    /// Permits the dispatch; returns false if the attempt was refused, and the caller must not dispatch it then.
    bool tryDispatch(const std::string& attempt);

    /// Ends an attempt and remembers it as Refused or Finished; forgets it if the state is Unknown.
    void end(const std::string& attempt, AttemptState state);

    /// Answers a query. Refuses an attempt that is still waiting for the answer to its claim.
    AttemptState query(const std::string& attempt);

    /// Returns how many attempts have not ended.
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
