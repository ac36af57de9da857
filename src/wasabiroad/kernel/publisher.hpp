#pragma once

#include <functional>
#include <memory>
#include <vector>

namespace wasabiroad::kernel {

/** @brief Runs a function on the thread of a subscriber, without waiting for it. */
using Post = std::function<void(std::function<void()>)>;

/**
 * @brief Publishes immutable snapshots from the control thread to other threads.
 *
 * Each subscriber receives the pointer as a message on its own thread. An atomic shared
 * pointer would spin on a lock bit in libstdc++, and a mutex would make traffic wait.
 */
template <typename Snapshot> class Publisher {
public:
    using Pointer = std::shared_ptr<const Snapshot>;

    /**
     * @brief Adds a subscriber and sends it the current snapshot, if there is one.
     * @param post Runs a function on the subscriber's thread.
     * @param receive Called on that thread with each snapshot.
     */
    void subscribe(Post post, std::function<void(Pointer)> receive)
    {
        this->subscribers.emplace_back(Subscriber { std::move(post), std::move(receive) });
        if (this->latest) {
            send(this->subscribers.back());
        }
    }

    /** @brief Replaces the current snapshot and sends it to all subscribers. */
    void publish(Pointer snapshot)
    {
        this->latest = std::move(snapshot);
        for (const auto& subscriber : this->subscribers) {
            send(subscriber);
        }
    }

    /** @return The current snapshot, or null before the first publication. Control thread only. */
    const Pointer& current() const { return this->latest; }

private:
    struct Subscriber {
        const Post post;
        const std::function<void(Pointer)> receive;
    };

    void send(const Subscriber& subscriber) const
    {
        subscriber.post([receive = subscriber.receive, snapshot = this->latest] { receive(snapshot); });
    }

    Pointer latest {};
    std::vector<Subscriber> subscribers {};
};

} // namespace wasabiroad::kernel
