#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <stdexcept>
#include <utility>

namespace bulrushstack {

/// Runs the io_context on the calling thread until the awaitable completes, and returns the result of the awaitable.
///
/// Intended for command-line tools and tests. Other work of the io_context also runs during the call. Rethrows an
/// exception of the awaitable; throws std::runtime_error if the io_context runs out of work before the awaitable
/// completes.
template <typename T> T runAwaitable(boost::asio::io_context& context, boost::asio::awaitable<T> awaitable)
{
    std::optional<T> value;
    std::exception_ptr error;
    bool isDone = false;
    boost::asio::co_spawn(context, std::move(awaitable), [&](std::exception_ptr failure, T result) {
        error = failure;
        if (!failure)
            value.emplace(std::move(result));
        isDone = true;
    });
    context.restart();
    while (!isDone && context.run_one() > 0) { }
    if (error)
        std::rethrow_exception(error);
    if (!value)
        throw std::runtime_error("the awaitable did not complete");
    return std::move(*value);
}

inline void runAwaitable(boost::asio::io_context& context, boost::asio::awaitable<void> awaitable)
{
    auto wrapper = [](boost::asio::awaitable<void> inner) -> boost::asio::awaitable<bool> {
        co_await std::move(inner);
        co_return true;
    };
    runAwaitable<bool>(context, wrapper(std::move(awaitable)));
}

} // namespace bulrushstack
