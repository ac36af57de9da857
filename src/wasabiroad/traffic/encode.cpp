#include "wasabiroad/traffic/encode.hpp"

#include "wasabiroad/traffic/headers.hpp"

#include <boost/json/serialize.hpp>

namespace wasabiroad::traffic {

using kernel::ResultCode;

namespace {

std::string_view name(Certainty certainty) { return certainty == Certainty::NotRun ? "not-run" : "unknown"; }

boost::beast::string_view view(std::string_view text) { return { text.data(), text.size() }; }

std::string body(const SystemAnswer& answer)
{
    boost::json::object document {
        { "request", answer.request.text() },
        { "code", number(answer.code) },
        { "name", kernel::name(answer.code) },
        { "outcome", name(answer.certainty) },
    };
    if (!answer.detail.empty()) {
        document["detail"] = answer.detail;
    }
    return boost::json::serialize(document) + "\n";
}

} // namespace

unsigned statusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::MalformedRequest:
    case ResultCode::TicketInvalid:
    case ResultCode::UnknownTeam:
        return 400;
    case ResultCode::UnknownService:
    case ResultCode::UnknownOperation:
        return 404;
    case ResultCode::MethodNotAllowed:
        return 405;
    case ResultCode::AlreadyRun:
        return 409;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::NeverRunnable:
        return 422;
    case ResultCode::TicketRequired:
        return 428;
    case ResultCode::QuotaExceeded:
        return 429;
    case ResultCode::UpstreamFailed:
    case ResultCode::OutcomeUnknown:
        return 502;
    case ResultCode::DeadlineExceeded:
        return 504;
    default:
        return 503;
    }
}

http::Response encode(const Ticket& ticket, const std::string& text, bool keepAlive)
{
    constexpr unsigned version = 11;
    http::Response response { boost::beast::http::status::ok, version };
    response.set(boost::beast::http::field::content_type, "application/json");
    response.set(view(headers::ticket), text);
    response.keep_alive(keepAlive);
    const boost::json::object document { { "ticket", text }, { "entry", ticket.entry.text() },
        { "incarnation", hexadecimal(ticket.incarnation) }, { "serial", ticket.serial } };
    response.body() = boost::json::serialize(document) + "\n";
    response.prepare_payload();
    return response;
}

http::Response encode(const SystemAnswer& answer, bool keepAlive)
{
    constexpr unsigned version = 11;
    http::Response response { boost::beast::http::int_to_status(statusOf(answer.code)), version };
    response.set(boost::beast::http::field::content_type, "application/json");
    response.set(view(headers::code), std::to_string(number(answer.code)));
    response.set(view(headers::outcome), view(name(answer.certainty)));
    if (!answer.request.text().empty()) {
        response.set(view(headers::requestId), answer.request.text());
    }
    if (answer.retryAfter > kernel::Duration {}) {
        const auto seconds = (answer.retryAfter.milliseconds + 999) / 1000;
        response.set(boost::beast::http::field::retry_after, std::to_string(seconds));
    }
    response.keep_alive(keepAlive);
    response.body() = body(answer);
    response.prepare_payload();
    return response;
}

} // namespace wasabiroad::traffic
