#include "wasabiroad/operations/status.hpp"

#include <boost/json/serialize.hpp>

namespace wasabiroad::operations {

std::string toJson(const Status& status)
{
    return boost::json::serialize(boost::json::value {
               { "entry", status.entry.text() },
               { "zone", status.zone.text() },
               { "generation", status.generation.value },
               { "digest", status.digest },
               { "ready", status.ready },
           })
        + "\n";
}

} // namespace wasabiroad::operations
