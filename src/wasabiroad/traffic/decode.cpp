#include "wasabiroad/traffic/decode.hpp"

#include "wasabiroad/http/target.hpp"
#include "wasabiroad/traffic/claim.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace wasabiroad::traffic {

namespace http = boost::beast::http;
using kernel::ResultCode;

namespace {

constexpr std::size_t maxRequestIdLength = 128;
constexpr std::int64_t maxDurationMs = 86400000;

struct Route {
    const model::ServiceView& view;
    const model::Operation& operation;
};

kernel::Expected<Route> findRoute(std::string_view target, const model::RoutingSnapshot& snapshot)
{
    const auto parts = wasabiroad::http::segments(target.substr(0, target.find('?')));
    if (parts.size() != 3 || parts[0] != "services") {
        return kernel::fail(ResultCode::MalformedRequest, "target", std::string { target },
            "/services/<service>/<operation>");
    }
    const auto service = snapshot.services.find(model::ServiceId { std::string { parts[1] } });
    if (service == snapshot.services.end()) {
        return kernel::fail(ResultCode::UnknownService, "target", std::string { parts[1] });
    }
    const auto& operations = service->second.service.operations;
    const auto operation = std::ranges::find_if(
        operations, [&](const model::Operation& candidate) { return candidate.id.text() == parts[2]; });
    if (operation == operations.end()) {
        return kernel::fail(ResultCode::UnknownOperation, "target", std::string { parts[2] });
    }
    return Route { service->second, *operation };
}

kernel::Expected<std::optional<kernel::Duration>> readDuration(
    const http::fields& fields, std::string_view name)
{
    const auto text = valueOf(fields, name);
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value < 1
        || value > maxDurationMs) {
        return kernel::fail(ResultCode::MalformedRequest, std::string { name }, std::string { text },
            "milliseconds from 1 to " + std::to_string(maxDurationMs));
    }
    return kernel::Duration { value };
}

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(
        text, [](unsigned char character) { return character > ' ' && character < 0x7f; });
}

kernel::Expected<model::RequestId> readId(const http::fields& fields, const model::RequestId& fallback)
{
    const auto text = valueOf(fields, headers::requestId);
    if (text.empty()) {
        return fallback;
    }
    if (text.size() > maxRequestIdLength || !isPrintable(text)) {
        return kernel::fail(ResultCode::MalformedRequest, std::string { headers::requestId }, {},
            "1 to 128 printable characters without spaces");
    }
    return model::RequestId { std::string { text } };
}

kernel::Expected<model::TeamId> readTeam(const http::fields& fields, const model::RoutingSnapshot& snapshot)
{
    const model::TeamId team { std::string { valueOf(fields, headers::team) } };
    if (!team.text().empty() && !snapshot.teams.contains(team)) {
        return kernel::fail(ResultCode::UnknownTeam, std::string { headers::team }, team.text());
    }
    return team;
}

/** The header can only tighten what the manifest declares. */
kernel::Expected<bool> readIdempotent(const http::fields& fields, const model::Operation& operation)
{
    const auto text = valueOf(fields, headers::idempotent);
    if (text.empty() || text == "true") {
        return operation.idempotent;
    }
    if (text == "false") {
        return false;
    }
    return kernel::fail(ResultCode::MalformedRequest, std::string { headers::idempotent },
        std::string { text }, "true or false");
}

/** Two values of one header could be read differently by the next party, so they are refused. */
kernel::Expected<void> checkUnique(const http::fields& fields)
{
    for (const auto name : { headers::requestId, headers::deadline, headers::team, headers::declared,
             headers::ticket, headers::idempotent }) {
        if (fields.count({ name.data(), name.size() }) > 1) {
            return kernel::fail(ResultCode::MalformedRequest, std::string { name }, "repeated", "one value");
        }
    }
    return {};
}

kernel::Expected<Safeguard> readSafeguard(
    const http::fields& fields, const model::Service& service, bool idempotent)
{
    if (idempotent) {
        return Repeatable {};
    }
    if (service.atMostOnce == model::AtMostOnce::Ticket) {
        const auto ticket = valueOf(fields, headers::ticket);
        if (ticket.empty()) {
            return kernel::fail(
                ResultCode::TicketRequired, std::string { headers::ticket }, {}, "a ticket of POST /tickets");
        }
        return NeedsTicket { std::string { ticket } };
    }
    const auto id = valueOf(fields, headers::requestId);
    if (id.empty()) {
        // A generated id would differ for each repeat, so that the claim would not protect.
        return kernel::fail(ResultCode::MalformedRequest, std::string { headers::requestId }, {},
            "a request id, which the claim needs");
    }
    return NeedsClaim { claimKey(service.id.text(), std::string { id }) };
}

} // namespace

bool asksForTicket(const RequestHeader& header) { return header.target() == "/tickets"; }

model::RequestId requestIdOf(const http::fields& fields, const model::RequestId& fallback)
{
    return readId(fields, fallback).value_or(fallback);
}

std::string_view valueOf(const http::fields& fields, std::string_view name)
{
    const auto found = fields.find({ name.data(), name.size() });
    if (found == fields.end()) {
        return {};
    }
    return { found->value().data(), found->value().size() };
}

kernel::Expected<DecodedRequest> decode(const RequestHeader& header,
    const model::RoutingSnapshotPointer& snapshot, const model::RequestId& fallbackId, kernel::Instant now)
{
    if (!snapshot) {
        return kernel::fail(ResultCode::NotConfigured);
    }
    const auto route = findRoute({ header.target().data(), header.target().size() }, *snapshot);
    if (!route) {
        return tl::unexpected(route.error());
    }
    if (header.method() != http::verb::post) {
        return kernel::fail(
            ResultCode::MethodNotAllowed, "method", std::string { header.method_string() }, "POST");
    }
    if (const auto unique = checkUnique(header); !unique) {
        return tl::unexpected(unique.error());
    }
    const auto id = readId(header, fallbackId);
    const auto deadline = readDuration(header, headers::deadline);
    const auto declared = readDuration(header, headers::declared);
    const auto team = readTeam(header, *snapshot);
    const auto idempotent = readIdempotent(header, route->operation);
    if (!id) {
        return tl::unexpected(id.error());
    }
    if (!deadline) {
        return tl::unexpected(deadline.error());
    }
    if (!declared) {
        return tl::unexpected(declared.error());
    }
    if (!team) {
        return tl::unexpected(team.error());
    }
    if (!idempotent) {
        return tl::unexpected(idempotent.error());
    }
    auto safeguard = readSafeguard(header, route->view.service, *idempotent);
    if (!safeguard) {
        return tl::unexpected(safeguard.error());
    }
    model::Request request {
        .id = *id,
        .service = route->view.service.id,
        .operation = route->operation.id,
        .team = *team,
        .arrival = now,
        .deadline = now + deadline->value_or(route->operation.deadline),
        .declared = declared->value_or(route->operation.declared),
        .idempotent = *idempotent,
    };
    return DecodedRequest { std::move(request), std::move(*safeguard), route->operation.stoppable };
}

} // namespace wasabiroad::traffic
