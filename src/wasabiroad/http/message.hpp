#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wasabiroad::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/** @brief Builds a response to a request, with its version and its keep-alive setting. */
Response respond(const Request& request, unsigned status, std::string_view contentType, std::string body);

/** @brief Builds a POST request for `target` whose body is JSON. */
Request makeJsonPost(std::string_view target, std::string body);

/** @brief Builds a request for `target`. */
Request makeRequest(boost::beast::http::verb verb, std::string_view target, std::string body = {});

/** @return The request as it is sent. */
std::string serialize(const Request& request);

} // namespace wasabiroad::http
