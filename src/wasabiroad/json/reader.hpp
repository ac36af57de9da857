#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace wasabiroad::json {

/** @brief Reads members of an object that has passed its schema; absent ones take a default. */
class Reader {
public:
    /** @param object Object to read; it must outlive the reader. */
    explicit Reader(const boost::json::value& object)
        : source(object.as_object())
    {
    }

    std::string text(std::string_view key, std::string_view fallback = {}) const
    {
        const auto* const value = find(key);
        return std::string { value != nullptr ? std::string_view { value->as_string() } : fallback };
    }

    template <typename Id> Id id(std::string_view key) const { return Id { text(key) }; }

    std::int64_t integer(std::string_view key, std::int64_t fallback = 0) const
    {
        const auto* const value = find(key);
        return value != nullptr ? value->to_number<std::int64_t>() : fallback;
    }

    double number(std::string_view key, double fallback = 0) const
    {
        const auto* const value = find(key);
        return value != nullptr ? value->to_number<double>() : fallback;
    }

    std::uint32_t count(std::string_view key, std::uint32_t fallback = 0) const
    {
        return static_cast<std::uint32_t>(integer(key, fallback));
    }

    bool flag(std::string_view key, bool fallback = false) const
    {
        const auto* const value = find(key);
        return value != nullptr ? value->as_bool() : fallback;
    }

    /** @brief Converts each element of an array; an absent array is empty. */
    template <typename Element, typename Convert>
    std::vector<Element> list(std::string_view key, Convert convert) const
    {
        std::vector<Element> elements;
        if (const auto* const value = find(key)) {
            elements.reserve(value->as_array().size());
            for (const auto& element : value->as_array()) {
                elements.emplace_back(convert(element));
            }
        }
        return elements;
    }

    template <typename Id> std::vector<Id> ids(std::string_view key) const
    {
        return list<Id>(key, [](const auto& element) { return Id { std::string { element.as_string() } }; });
    }

    /** @return The member, or null when it is absent. */
    const boost::json::value* find(std::string_view key) const
    {
        return this->source.if_contains({ key.data(), key.size() });
    }

private:
    const boost::json::object& source;
};

} // namespace wasabiroad::json
