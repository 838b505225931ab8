#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushstack {

enum class OrderKind {
    Load,
    Unload,
};

std::string_view toString(OrderKind kind);

/// An order to one upstream about a model, or about an adapter of a model that it holds.
struct UpstreamOrder {
    OrderKind kind = OrderKind::Load;
    std::string upstreamId;
    std::string model;
    std::string adapter; ///< empty for the model itself
    std::string holder; ///< instance that gives the order
    std::uint64_t fence = 0; ///< fencing token of the holder's lease

    /// Orders that the upstream must have accepted before. An order that is delayed on its way is thus refused once a
    /// newer one was accepted.
    std::uint64_t expectedOrders = 0;

    friend bool operator==(const UpstreamOrder&, const UpstreamOrder&) = default;
};

/// What the upstream answered to an order.
enum class OrderResult {
    Accepted, ///< it is being carried out
    AlreadyHolds, ///< nothing to do
    Conflict, ///< another order is under way, or the count of orders differs
    Rejected, ///< it cannot be carried out, or came to the wrong upstream
    Unknown, ///< no answer; it may still be carried out
};

std::string_view toString(OrderResult result);

} // namespace bulrushstack
