#include "wasabiroad/standin/behaviour.hpp"

#include <algorithm>
#include <array>

namespace wasabiroad::standin {

namespace {

struct Kind {
    const std::string_view name;
    Behaviour (*const make)(const http::Target&);
};

std::uint32_t number(const http::Target& target, const std::string& key, std::int64_t fallback)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, http::numberOf(target, key, fallback)));
}

/** In the order of the alternatives of `Behaviour`. */
constexpr std::array<Kind, std::variant_size_v<Behaviour>> kinds {
    Kind { "healthy", [](const http::Target&) -> Behaviour { return Healthy {}; } },
    Kind { "fail-fast", [](const http::Target&) -> Behaviour { return FailFast {}; } },
    Kind { "slow",
        [](const http::Target& target) -> Behaviour { return Slow { number(target, "factor", 10) }; } },
    Kind { "black-hole", [](const http::Target&) -> Behaviour { return Unresponsive {}; } },
    Kind { "leaving", [](const http::Target&) -> Behaviour { return Leaving {}; } },
    Kind { "kill-before",
        [](const http::Target& target) -> Behaviour {
            return KillBeforeRun { number(target, "percent", 100) };
        } },
    Kind { "kill-after",
        [](const http::Target& target) -> Behaviour {
            return KillAfterRun { number(target, "percent", 100) };
        } },
};

} // namespace

kernel::Expected<Behaviour> parseBehaviour(const http::Target& target)
{
    const auto named = target.query.find("kind");
    const std::string name = named == target.query.end() ? "healthy" : named->second;
    const auto* const kind = std::ranges::find(kinds, name, &Kind::name);
    if (kind == kinds.end()) {
        return kernel::fail(kernel::ResultCode::ValueOutOfRange, "kind", name, "a kind of behaviour");
    }
    return kind->make(target);
}

} // namespace wasabiroad::standin
