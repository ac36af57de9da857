#pragma once

#include "wasabiroad/model/policy.hpp"
#include "wasabiroad/model/pool.hpp"
#include "wasabiroad/model/service.hpp"
#include "wasabiroad/model/team.hpp"
#include "wasabiroad/model/vm.hpp"
#include "wasabiroad/model/wave.hpp"
#include "wasabiroad/model/zone.hpp"

namespace wasabiroad::model {

/** @brief What the operators of a site declare. */
struct Manifest {
    const SiteId site;
    const std::vector<Zone> zones {};
    const std::vector<Pool> pools {};
    const std::vector<Vm> vms {};
    const std::vector<Service> services {};
    const std::vector<Team> teams {};
    const std::vector<Wave> waves {};
    const Policies policies {};
    const Weights weights {};

    friend auto operator<=>(const Manifest&, const Manifest&) = default;
};

} // namespace wasabiroad::model
