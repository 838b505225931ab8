#include "sent_request_ids.h"

#include <algorithm>
#include <functional>

namespace bulrushstack::detail {

void SentRequestIds::add(std::string_view id)
{
    if (!id.empty())
        m_hashes.push_back(std::hash<std::string_view>()(id));
}

bool SentRequestIds::contains(std::string_view id) const
{
    if (id.empty())
        return false;
    return std::find(m_hashes.begin(), m_hashes.end(), std::hash<std::string_view>()(id)) != m_hashes.end();
}

} // namespace bulrushstack::detail
