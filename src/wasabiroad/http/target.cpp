#include "wasabiroad/http/target.hpp"

#include <charconv>

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace wasabiroad::http {

std::optional<Target> parseTarget(std::string_view text)
{
    const auto parsed = boost::urls::parse_origin_form({ text.data(), text.size() });
    if (!parsed) {
        return std::nullopt;
    }
    std::map<std::string, std::string> query;
    for (const auto& parameter : parsed->params()) {
        query[std::string { parameter.key }] = std::string { parameter.value };
    }
    return Target { std::string { parsed->path() }, std::move(query) };
}

std::int64_t numberOf(const Target& target, const std::string& key, std::int64_t fallback)
{
    const auto found = target.query.find(key);
    if (found == target.query.end()) {
        return fallback;
    }
    std::int64_t value = 0;
    const auto* const end = found->second.data() + found->second.size();
    const auto parsed = std::from_chars(found->second.data(), end, value);
    return parsed.ec == std::errc {} && parsed.ptr == end ? value : fallback;
}

std::vector<std::string_view> segments(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        if (path.front() == '/') {
            path.remove_prefix(1);
            continue;
        }
        const auto end = path.find('/');
        parts.push_back(path.substr(0, end));
        path.remove_prefix(parts.back().size());
    }
    return parts;
}

} // namespace wasabiroad::http
