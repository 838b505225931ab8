#include "bulrushstack/net/client_buffers.h"

#include <algorithm>
#include <glog/logging.h>
#include <vector>

namespace bulrushstack {

namespace {

constexpr std::chrono::milliseconds lineInterval { 100 }; // a tenth of the rate that LogOutput permits

} // namespace

ClientBuffers::ClientBuffers(const Clock& clock, ClientBuffersOptions options)
    : m_clock(clock)
    , m_options(std::move(options))
{
}

void ClientBuffers::logRefusal(const char* action, const std::string& client, std::size_t held)
{
    if (m_clock.now() < m_nextLine) {
        ++m_linesLeftOut;
        return;
    }
    LOG(INFO) << "event=client-buffer-" << action << " client=" << client << " held=" << held << " used=" << used()
              << " limit=" << m_options.budget->limit() << " lines_left_out=" << m_linesLeftOut;
    m_linesLeftOut = 0;
    m_nextLine = m_clock.now() + lineInterval;
}

/// Closes stalled connections until the buffer may grow to the size: first those that hold the most for the longest.
/// Closes none if that would not suffice.
bool ClientBuffers::closeStalled(const ClientBuffer& buffer, std::size_t size)
{
    using Candidate = std::pair<double, ClientBuffer*>; // byte seconds without progress
    std::vector<Candidate> stalled;
    std::size_t held = 0;
    for (auto* it : m_buffers) {
        if (it == &buffer || it->m_share.size() == 0 || !it->isStalled())
            continue;
        const std::chrono::duration<double> age = m_clock.now() - it->m_progressTime;
        stalled.emplace_back(age.count() * static_cast<double>(it->m_share.size()), it);
        held += it->m_share.size();
    }
    if (!buffer.m_share.fits(size, held))
        return false;
    std::sort(stalled.begin(), stalled.end(), std::greater<>());
    for (const auto& [weight, it] : stalled) {
        if (buffer.m_share.fits(size))
            break;
        it->close();
    }
    return true;
}

ClientBuffer::ClientBuffer(
    std::shared_ptr<ClientBuffers> buffers, std::function<void(std::size_t)> close, std::function<bool()> canGoOn)
    : m_buffers(std::move(buffers))
    , m_close(std::move(close))
    , m_canGoOn(std::move(canGoOn))
    , m_share(m_buffers ? m_buffers->m_options.budget : nullptr)
{
    if (m_buffers)
        m_buffers->m_buffers.insert(this);
}

ClientBuffer::~ClientBuffer()
{
    if (m_buffers)
        m_buffers->m_buffers.erase(this);
}

bool ClientBuffer::resize(std::size_t size)
{
    const bool hasRoom = makeRoom(size);
    if (hasRoom) {
        m_share.hold(chargeOf(size));
        m_size = size;
    }
    return hasRoom;
}

bool ClientBuffer::makeRoom(std::size_t size)
{
    const std::size_t charge = chargeOf(size);
    if (!m_buffers || m_share.fits(charge) || m_buffers->closeStalled(*this, charge))
        return true;
    ++m_buffers->m_refused;
    return false;
}

void ClientBuffer::hold(std::size_t size)
{
    if (m_buffers && !m_share.fits(chargeOf(size)))
        m_buffers->closeStalled(*this, chargeOf(size));
    m_share.hold(chargeOf(size));
    m_size = size;
}

void ClientBuffer::beginTransfer()
{
    m_isTransferring = true;
    m_progress = 0;
    if (m_buffers)
        m_progressTime = m_buffers->m_clock.now();
}

void ClientBuffer::recordProgress(std::size_t n)
{
    m_progress += n;
    if (!m_buffers || m_progress < m_buffers->m_options.minProgress)
        return;
    m_progress = 0;
    m_progressTime = m_buffers->m_clock.now();
}

std::size_t ClientBuffer::chargeOf(std::size_t size) const
{
    return m_buffers ? size - std::min(size, m_buffers->m_options.freeSize) : 0;
}

bool ClientBuffer::isStalled() const
{
    const bool isLate = m_buffers->m_clock.now() - m_progressTime >= m_buffers->m_options.progressWindow;
    return m_isTransferring && isLate && !m_canGoOn();
}

void ClientBuffer::close()
{
    const std::size_t held = m_size;
    m_isClosed = true;
    endTransfer();
    m_share.hold(0);
    m_size = 0;
    ++m_buffers->m_closed;
    m_close(held);
}

} // namespace bulrushstack
