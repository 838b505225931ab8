#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace bulrushstack {

/// The platform's content-addressed store of immutable objects, whose keys are the SHA-256 digests of their contents.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Stores the content and returns its digest in hexadecimal. Storing the same content again has no effect.
    virtual boost::asio::awaitable<Result<std::string>> put(std::string content, SteadyTime deadline) = 0;

    /// Returns the content with the digest, or an empty optional if there is none. Fails with Errc::Malformed if the
    /// content does not match the digest.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> get(std::string digest, SteadyTime deadline) = 0;
};

} // namespace bulrushstack
