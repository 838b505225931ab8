#pragma once

#include "bulrushstack/kernel/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushstack {

/// One process of an upstream.
struct UpstreamProcess {
    std::string upstream;
    std::uint64_t startedAt = 0; ///< Unix milliseconds

    friend auto operator<=>(const UpstreamProcess&, const UpstreamProcess&) = default;
};

/// When responses end whose end is that of their connection. Performs no I/O.
///
/// A process that crashes ends all of its connections in the same moment, whenever their responses began. Whole
/// responses end one by one, unless they began together.
class ResponseEnds {
    struct Record;

public:
    explicit ResponseEnds(const Clock& clock);

    /// A response in progress, until end() is called or the scope is destroyed.
    class Scope {
    public:
        Scope() = default;
        ~Scope();

        Scope(Scope&& other) noexcept;
        Scope& operator=(Scope&& other) noexcept;
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

        /// Records that the connection ended in order.
        void end();

    private:
        friend class ResponseEnds;
        Scope(std::shared_ptr<Record> record, const Clock& clock);
        bool leave();

        /// Of the process. It is kept after the end, so that the responses that end next can be compared with this one.
        std::shared_ptr<Record> m_record;
        const Clock* m_clock = nullptr;
        SteadyTime m_begun {};
        bool m_isOpen = false;
    };

    /// Records that a response of the process begins.
    Scope begin(const UpstreamProcess& process);

    /// Returns whether the last responses of the process, at least this many, ended in the same moment although they
    /// began at different times, and none is left that began before.
    bool haveEndedTogether(const UpstreamProcess& process, std::size_t minimum) const;

private:
    const Clock& m_clock;
    std::map<UpstreamProcess, std::weak_ptr<Record>> m_records;
};

} // namespace bulrushstack
