#pragma once

#include "http.hpp"

#include <string>

namespace review {

using namespace wasabiroad::soak;

/** @brief Passes calls on to a store, except for changes with a value that is too large for it. */
class Gate {
public:
    using Report = std::function<void(const std::string&)>;

    /** @param address Address of the store. @param report Takes a line for each change that is rejected. */
    Gate(boost::asio::io_context& context, std::string address, Report report);
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    Task<> accept();
    Task<> serve(boost::asio::ip::tcp::socket socket);
    Answer check(const Request& request) const;

    const std::string store;
    const Report report;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t port { 0 };
};

} // namespace review
