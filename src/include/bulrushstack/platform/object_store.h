#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace bulrushstack {

/// The platform's store of immutable objects, each under the SHA-256 digest of its content.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Stores the content and returns its digest; storing the same content again has no effect.
    virtual boost::asio::awaitable<Result<std::string>> put(std::string content, SteadyTime deadline) = 0;

    /// Returns the content, or an empty optional if there is none. Content that does not match its digest is a
    /// failure with Errc::Malformed.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> get(std::string digest, SteadyTime deadline) = 0;
};

} // namespace bulrushstack
