#pragma once

#include "store.hpp"

#include <memory>

#include <boost/asio/posix/stream_descriptor.hpp>

#include <sys/types.h>

namespace wasabiroad::soak {

/** @brief A process of the daemon, with its output and its processor quota. */
class Daemon {
public:
    struct Place {
        std::string program {};
        std::string folder {};
        std::string zone {};
        std::string vms {};
    };

    Daemon(boost::asio::io_context& context, std::string name, Place place, Store::Entrance& entrance);

    const std::string& name() const { return this->id; }
    const std::string& callers() const { return this->callerAddress; }
    Store::Entrance& store() { return this->entrance; }

    void launch();
    void signal(int number);

    /** @brief Ends the process with SIGKILL. */
    void kill();

    /** @brief Ends the process with SIGTERM, and with SIGKILL after the time of grace. */
    Task<> stop();
    void freeze(bool isFrozen);

    bool isUp() const { return this->process != 0; }
    bool isStopping() const { return this->stopping; }
    bool isFrozen() const { return this->frozen; }

    /** @return Whether the process has ended by itself since the last look. */
    bool hasEnded();

    /** @brief Lets nobody read the output. */
    void holdOutput(bool isHeld) { this->outputHeld = isHeld; }

    /** @brief Lets the process run only 25 ms of each 100 ms, whether it works or waits. */
    void throttle(bool isThrottled) { this->throttled = isThrottled; }

    /** @brief Limits the process to a quarter of a core, in periods of 100 ms. */
    void limit(bool isLimited) { this->limited = isLimited; }

    /** @return Whether it reports that it is ready. */
    Task<bool> ready();

private:
    Task<> readOutput(int descriptor);
    Task<> keepQuota();
    std::int64_t processorTime() const;

    boost::asio::io_context& context;
    const std::string id;
    const Place place;
    Store::Entrance& entrance;
    std::string callerAddress {};
    std::string readinessAddress {};
    std::string operatorAddress {};
    pid_t process { 0 };
    std::int64_t launchedAt { 0 };
    int retries { 0 };
    bool frozen { false };
    bool stopping { false };
    bool outputHeld { false };
    bool throttled { false };
    bool limited { false };
};

} // namespace wasabiroad::soak
