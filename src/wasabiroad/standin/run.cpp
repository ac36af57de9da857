#include "wasabiroad/standin/run.hpp"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace wasabiroad::standin {

void announce(const std::string& listener, const std::string& address)
{
    std::cout << "event=listening listener=" << listener << " address=" << address << std::endl;
}

kernel::ResultCode reportError(const kernel::Error& error)
{
    std::cerr << "code=" << number(error.code) << " " << name(error.code) << " at '" << error.where
              << "': found " << error.found << "; allowed: " << error.allowed << "\n";
    return error.code;
}

kernel::ResultCode runUntilSignal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals { context, SIGINT, SIGTERM };
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
    return kernel::ResultCode::Ok;
}

} // namespace wasabiroad::standin
