#pragma once

#include <functional>
#include <typeindex>
#include <unordered_map>
#include <vector>

namespace wasabiroad::kernel {

/**
 * @brief Typed publish and subscribe for events between plug-ins.
 * Used on the control thread only, so it needs no lock.
 */
class EventBus {
public:
    /** @brief Calls `handler` for each published event of the type `Event`. */
    template <typename Event> void subscribe(std::function<void(const Event&)> handler)
    {
        this->handlers[typeid(Event)].push_back([handler = std::move(handler)](const void* event) {
            handler(*static_cast<const Event*>(event));
        });
    }

    /** @brief Delivers an event to its subscribers in order of subscription. */
    template <typename Event> void publish(const Event& event) const
    {
        const auto found = this->handlers.find(typeid(Event));
        if (found == this->handlers.end()) {
            return;
        }
        for (const auto& handler : found->second) {
            handler(&event);
        }
    }

private:
    std::unordered_map<std::type_index, std::vector<std::function<void(const void*)>>> handlers {};
};

} // namespace wasabiroad::kernel
