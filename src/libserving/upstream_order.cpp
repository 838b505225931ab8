#include "bulrushstack/serving/upstream_order.h"

#include <string_view>

namespace bulrushstack {

std::string_view toString(OrderKind kind) { return kind == OrderKind::Load ? "load" : "unload"; }

std::string_view toString(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::AlreadyHolds:
        return "already-holds";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::Rejected:
        return "rejected";
    case OrderAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace bulrushstack
