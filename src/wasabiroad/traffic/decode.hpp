#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/request.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"
#include "wasabiroad/traffic/safeguard.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace wasabiroad::traffic {

using RequestHeader = boost::beast::http::request_header<boost::beast::http::fields>;

/** @brief A caller's request as the session needs it. */
struct DecodedRequest {
    const model::Request request;
    const Safeguard safeguard {};
    /** @brief Whether the attempt is stopped when the caller has gone. */
    const bool stoppable { false };

    friend auto operator<=>(const DecodedRequest&, const DecodedRequest&) = default;
};

/** @return Whether the target asks for a ticket. */
bool asksForTicket(const RequestHeader& header);

/**
 * @brief Turns the header of a caller's HTTP request into a request of the model.
 * @param header HTTP header.
 * @param snapshot Snapshot that declares services, operations and teams.
 * @param fallbackId Identifier for a request that carries none.
 * @param now Current instant of the steady clock.
 * @return The request. Errors: MethodNotAllowed, UnknownService, UnknownOperation, UnknownTeam,
 * MalformedRequest, NotConfigured, TicketRequired.
 */
kernel::Expected<DecodedRequest> decode(const RequestHeader& header,
    const model::RoutingSnapshotPointer& snapshot, const model::RequestId& fallbackId, kernel::Instant now);

/** @return The caller's identifier of a request, or the fallback when there is none or it is malformed. */
model::RequestId requestIdOf(const boost::beast::http::fields& fields, const model::RequestId& fallback);

/** @return A header's value, or an empty text. */
std::string_view valueOf(const boost::beast::http::fields& fields, std::string_view name);

} // namespace wasabiroad::traffic
