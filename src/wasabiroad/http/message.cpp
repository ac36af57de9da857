#include "wasabiroad/http/message.hpp"

namespace wasabiroad::http {

namespace beast = boost::beast;

Response respond(const Request& request, unsigned status, std::string_view contentType, std::string body)
{
    Response response { beast::http::int_to_status(status), request.version() };
    response.set(beast::http::field::content_type, { contentType.data(), contentType.size() });
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

Request makeRequest(beast::http::verb verb, std::string_view target, std::string body)
{
    constexpr unsigned version = 11;
    Request request { verb, { target.data(), target.size() }, version };
    request.set(beast::http::field::host, "wasabiroad");
    request.keep_alive(true);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

Request makeJsonPost(std::string_view target, std::string body)
{
    auto request = makeRequest(beast::http::verb::post, target, std::move(body));
    request.set(beast::http::field::content_type, "application/json");
    return request;
}

std::string serialize(const Request& request)
{
    const auto append = [](std::string& text, boost::beast::string_view part) -> std::string& {
        return text.append(part.data(), part.size());
    };
    std::string text;
    append(text, request.method_string()) += ' ';
    append(text, request.target()) += " HTTP/1.1\r\n";
    for (const auto& field : request) {
        append(text, field.name_string()) += ": ";
        append(text, field.value()) += "\r\n";
    }
    text += "\r\n";
    return text += request.body();
}

} // namespace wasabiroad::http
