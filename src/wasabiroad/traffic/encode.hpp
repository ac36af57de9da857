#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/traffic/ticket.hpp"

namespace wasabiroad::traffic {

/** @brief What the system can say about a request that it did not answer. */
enum class Certainty : std::uint8_t {
    /** @brief The request provably did not run. */
    NotRun,
    /** @brief The request may have run. */
    Unknown,
};

/** @brief Answer of the system itself to a request. */
struct SystemAnswer {
    const model::RequestId request {};
    const kernel::ResultCode code;
    const Certainty certainty { Certainty::NotRun };
    /** @brief Time after which the caller may try again; 0 leaves the header out. */
    const kernel::Duration retryAfter {};
    const std::string detail {};

    friend auto operator<=>(const SystemAnswer&, const SystemAnswer&) = default;
};

/** @return The HTTP status of a result code. */
unsigned statusOf(kernel::ResultCode code);

/** @return A ticket as an HTTP response with the ticket as a header and as JSON. */
http::Response encode(const Ticket& ticket, const std::string& text, bool keepAlive);

/** @return The answer as an HTTP response with a JSON body. */
http::Response encode(const SystemAnswer& answer, bool keepAlive);

} // namespace wasabiroad::traffic
