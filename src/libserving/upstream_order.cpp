#include "bulrushstack/serving/upstream_order.h"

#include <string_view>

namespace bulrushstack {

std::string_view toString(OrderKind kind) { return kind == OrderKind::Load ? "load" : "unload"; }

std::string_view toString(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::AlreadyHolds:
        return "already-holds";
    case OrderResult::Conflict:
        return "conflict";
    case OrderResult::Rejected:
        return "rejected";
    case OrderResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace bulrushstack
