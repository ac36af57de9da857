#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace wasabiroad::model {

/** @brief Name of one kind of thing; names of different kinds do not mix. */
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : content(std::move(text))
    {
    }

    /** @return The name as text. */
    const std::string& text() const { return this->content; }

    friend auto operator<=>(const Identifier&, const Identifier&) = default;

private:
    std::string content {};
};

using EntryId = Identifier<struct EntryTag>;
using OperationId = Identifier<struct OperationTag>;
using PoolId = Identifier<struct PoolTag>;
using RackId = Identifier<struct RackTag>;
using RequestId = Identifier<struct RequestTag>;
using ServiceId = Identifier<struct ServiceTag>;
using SiteId = Identifier<struct SiteTag>;
using TeamId = Identifier<struct TeamTag>;
using VmId = Identifier<struct VmTag>;
using WaveId = Identifier<struct WaveTag>;
using ZoneId = Identifier<struct ZoneTag>;

/** @brief Number of a manifest version; a higher one replaces a lower one and never the reverse. */
struct Generation {
    std::uint64_t value { 0 };

    friend auto operator<=>(const Generation&, const Generation&) = default;
};

} // namespace wasabiroad::model

template <typename Tag> struct std::hash<wasabiroad::model::Identifier<Tag>> {
    std::size_t operator()(const wasabiroad::model::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.text());
    }
};
