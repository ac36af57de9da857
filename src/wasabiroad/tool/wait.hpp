#pragma once

#include "wasabiroad/platform/store.hpp"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace wasabiroad::tool {

/** @brief Runs a coroutine to its end and returns its value. */
template <typename Value> Value wait(boost::asio::awaitable<Value> operation)
{
    boost::asio::io_context context { 1 };
    std::optional<Value> result;
    boost::asio::co_spawn(context, std::move(operation), [&](const std::exception_ptr& failed, Value value) {
        if (failed) {
            std::rethrow_exception(failed);
        }
        result.emplace(std::move(value));
    });
    context.run();
    return std::move(*result);
}

} // namespace wasabiroad::tool
