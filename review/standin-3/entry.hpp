#pragma once

#include "http.hpp"

#include <string>

#include <sys/types.h>

namespace review {

using namespace wasabiroad::soak;

/** @brief A machine of the system: its process, started as the deploy file says, and its way to the store. */
class Entry {
public:
    /** @param place Program, folder for settings and logs, addresses of the service for machines and of the
     * store. */
    struct Place {
        std::string program {};
        std::string folder {};
        std::string vms {};
        std::string store {};
    };

    Entry(std::string name, Place place);

    const std::string& callers() const { return this->callerAddress; }

    void launch();

    /** @brief Ends the process with SIGKILL. */
    void kill();

    /** @brief Starts the process again if it has ended because an address was taken. */
    void check();

    Task<bool> ready();

private:
    void chooseAddresses();

    const std::string id;
    const Place at;
    std::string callerAddress {};
    std::string readinessAddress {};
    std::string operatorAddress {};
    pid_t process { 0 };
};

} // namespace review
