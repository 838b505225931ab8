#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/net/buffer_budget.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace bulrushstack {

class ClientBuffer;

struct ClientBuffersOptions {
    std::shared_ptr<BufferBudget> budget;
    /// A client that transfers fewer than minProgress bytes in this time is stalled.
    std::chrono::nanoseconds progressWindow = std::chrono::seconds(1);
    std::size_t minProgress = 2048; ///< bytes; with the window the rate of a link of 16 kbit/s
    /// Bytes of each connection that are not charged, so that small requests are read when the budget is exhausted. The
    /// limit on connections bounds their sum.
    std::size_t freeSize = 8 * 1024;
};

/// Bounds the memory that a server holds for its clients. Connections of stalled clients are closed only when another
/// client needs their memory.
class ClientBuffers {
public:
    ClientBuffers(const Clock& clock, ClientBuffersOptions options);

    std::uint64_t refused() const { return m_refused; } ///< requests that were refused for lack of memory
    std::uint64_t closed() const { return m_closed; } ///< connections of stalled clients that were closed
    std::size_t used() const { return m_options.budget->used(); } ///< in bytes

    /// Logs that the client at the address was refused or closed while it held a number of bytes. Lines above a fixed
    /// rate are left out; the next line states their number.
    void logRefusal(const char* action, const std::string& client, std::size_t held);

private:
    friend class ClientBuffer;

    bool closeStalled(const ClientBuffer& buffer, std::size_t size);

    const Clock& m_clock;
    ClientBuffersOptions m_options;
    std::set<ClientBuffer*> m_buffers;
    std::uint64_t m_refused = 0;
    std::uint64_t m_closed = 0;
    std::uint64_t m_linesLeftOut = 0;
    SteadyTime m_nextLine {};
};

/// The memory held for one connection. Without ClientBuffers every size is permitted.
class ClientBuffer {
public:
    /// @param close  closes the connection of a stalled client, with the number of bytes that it held
    /// @param canGoOn  returns whether the transfer can go on without the client, so that this process delays it
    ClientBuffer(
        std::shared_ptr<ClientBuffers> buffers, std::function<void(std::size_t)> close,
        std::function<bool()> canGoOn = [] { return false; });
    ~ClientBuffer();

    ClientBuffer(const ClientBuffer&) = delete;
    ClientBuffer& operator=(const ClientBuffer&) = delete;

    /// Accounts for a new size in bytes. Closes stalled connections if there is room only without them. Returns false,
    /// without a change, if there is no room.
    bool resize(std::size_t size);

    /// Returns whether there is room for the size, after closing stalled connections if necessary.
    bool makeRoom(std::size_t size);

    /// Accounts for a new size that cannot be refused any more. Closes stalled connections if there is too little room.
    void hold(std::size_t size);

    /// States that the connection waits for its client, which must now transfer data to count as active.
    void beginTransfer();
    void recordProgress(std::size_t n);
    void endTransfer() { m_isTransferring = false; }

    std::size_t size() const { return m_size; }
    bool isClosed() const { return m_isClosed; } ///< whether the connection was closed as stalled

private:
    friend class ClientBuffers;

    std::size_t chargeOf(std::size_t size) const;
    bool isStalled() const;
    void close();

    std::shared_ptr<ClientBuffers> m_buffers;
    std::function<void(std::size_t)> m_close;
    std::function<bool()> m_canGoOn;
    BufferShare m_share;
    std::size_t m_size = 0;
    std::size_t m_progress = 0; ///< bytes transferred since m_progressTime
    SteadyTime m_progressTime {};
    bool m_isTransferring = false;
    bool m_isClosed = false;
};

} // namespace bulrushstack
