#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <glog/logging.h>
#include <string>

namespace bulrushstack {

/// Runs a coroutine in the background and discards its result. An exception that ends it is logged with `name`.
template <typename T>
void spawnLogged(boost::asio::io_context& context, boost::asio::awaitable<T> task, std::string name)
{
    boost::asio::co_spawn(context, std::move(task), [name = std::move(name)](std::exception_ptr error, auto&&...) {
        if (!error)
            return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& exception) {
            LOG(ERROR) << "event=task-failed task=" << name << " error=\"" << exception.what() << "\"";
        }
    });
}

/// Suspends the calling coroutine for the given time.
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context& context, std::chrono::nanoseconds duration)
{
    boost::asio::steady_timer timer(context, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace bulrushstack
