#pragma once

#include "wasabiroad/lifecycle/machine.hpp"

#include <array>
#include <cstddef>
#include <utility>

namespace wasabiroad::lifecycle::internal {

/** @brief Transition table of a machine, computed once by running it for every state and event. */
template <typename Table, typename State, typename Event, std::size_t stateCount, std::size_t eventCount>
class Transitions {
public:
    Transitions()
        : results(allStates(std::make_index_sequence<stateCount> {}))
    {
    }

    std::optional<State> next(State from, Event event) const
    {
        return this->results.at(static_cast<std::size_t>(from)).at(static_cast<std::size_t>(event));
    }

private:
    using Row = std::array<std::optional<State>, eventCount>;

    template <std::size_t state, std::size_t... eventIndices>
    static Row oneState(std::index_sequence<eventIndices...>)
    {
        return { applyEvent<Table, static_cast<State>(state), static_cast<Event>(eventIndices)>()... };
    }

    template <std::size_t... stateIndices>
    static std::array<Row, stateCount> allStates(std::index_sequence<stateIndices...>)
    {
        return { oneState<stateIndices>(std::make_index_sequence<eventCount> {})... };
    }

    const std::array<Row, stateCount> results;
};

} // namespace wasabiroad::lifecycle::internal
