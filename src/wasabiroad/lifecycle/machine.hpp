#pragma once

#include <optional>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace wasabiroad::lifecycle::internal {

/** @brief MSM event for one enumerator. */
template <auto value> struct OnEvent {
};

/** @brief MSM state that stores its enumerator in the machine on entry. */
template <auto value> struct InState : boost::msm::front::state<> {
    template <typename Event, typename Machine>
    void on_entry(const Event&, Machine& machine) // NOLINT(readability-identifier-naming): name given by MSM
    {
        machine.current = value;
    }
};

/** @brief MSM front end that runs the transition table `Table` from the state `initial`. */
template <typename Table, auto initial>
struct FrontEnd : boost::msm::front::state_machine_def<FrontEnd<Table, initial>> {
    using State = decltype(initial);
    // The names of the following members are given by MSM.
    // NOLINTBEGIN(readability-identifier-naming)
    using initial_state = InState<initial>;
    using transition_table = typename Table::Rows;
    using no_exception_thrown = int;
    using no_message_queue = int;

    template <typename Machine, typename Event> void no_transition(const Event&, Machine& machine, int)
    {
        machine.handled = false;
    }
    // NOLINTEND(readability-identifier-naming)

    State current { initial };
    bool handled { true };
};

/**
 * @brief Applies one event to a machine in the state `initial`.
 * @return The next state, or nothing when the table has no transition for the event.
 */
template <typename Table, auto initial, auto event> std::optional<decltype(initial)> applyEvent()
{
    boost::msm::back::state_machine<FrontEnd<Table, initial>> machine;
    machine.start();
    machine.process_event(OnEvent<event> {});
    return machine.handled ? std::optional { machine.current } : std::nullopt;
}

} // namespace wasabiroad::lifecycle::internal
