#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushstack {

/// Kind of an order.
enum class OrderKind {
    Load,
    Unload,
};

std::string_view toString(OrderKind kind);

/// An order is a command of the placement holder to one upstream to load or unload a model, or an adapter of a loaded
/// model.
struct UpstreamOrder {
    OrderKind kind = OrderKind::Load;
    std::string upstreamId;
    std::string model;
    std::string adapter; ///< Name of the adapter; empty for the model itself.
    std::string holder; ///< Id of the instance that sends the order.
    std::uint64_t fence = 0; ///< Fencing token of the placement lease.

    /// Number of orders that the upstream must have accepted before this one. An order that was delayed on the network
    /// is thus rejected if a newer one was accepted in the meantime.
    std::uint64_t expectedOrders = 0;

    friend bool operator==(const UpstreamOrder&, const UpstreamOrder&) = default;
};

/// Result of an order according to the response of the upstream.
enum class OrderResult {
    Accepted, ///< The upstream is carrying out the order.
    AlreadyHolds, ///< The upstream was already in the requested state, or has carried out the order at once.
    /// Another order is in progress, the count of accepted orders differs, or the order certainly did not run.
    Conflict,
    Rejected, ///< The order cannot be carried out, or reached the wrong upstream.
    Unknown, ///< No usable response; the order may still be carried out.
};

std::string_view toString(OrderResult result);

} // namespace bulrushstack
