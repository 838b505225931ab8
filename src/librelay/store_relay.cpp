#include "bulrushstack/relay/store_relay.h"

#include <glog/logging.h>

namespace bulrushstack {

namespace {

std::string joinNames(const std::vector<StoreReader>& readers)
{
    std::string out;
    for (const auto& it : readers)
        out += (out.empty() ? "" : ",") + it.instance;
    return out;
}

} // namespace

StoreRelay::StoreRelay(boost::asio::io_context& context, HttpClient& client, const Clock& clock,
    StoreRelayOptions options, TableFeed& store)
    : m_options(std::move(options))
    , m_selector(clock, m_options.self.instance, m_options.randomSeed)
    , m_feed(client, clock, m_selector, store)
    , m_tables(context, clock, m_feed)
{
}

void StoreRelay::setReaders(std::vector<StoreReader> readers)
{
    const auto before = joinNames(m_selector.readers());
    m_selector.setReaders(std::move(readers));
    m_tables.setActive(m_selector.isReader());
    if (const auto now = joinNames(m_selector.readers()); now != before)
        LOG(INFO) << "event=readers readers=" << now << " is_reader=" << m_selector.isReader();
}

StoreRelayStatus StoreRelay::status() const
{
    return { .readers = m_selector.readers().size(),
        .isReader = m_selector.isReader(),
        .isRelayed = m_feed.isRelayed(),
        .storeReadAge = m_feed.storeReadAge(),
        .answers = m_tables.answers() };
}

bool StoreRelay::isUsableReader() const { return m_tables.isActive() && m_feed.storeReadAge() <= maxRelayAge; }

} // namespace bulrushstack
