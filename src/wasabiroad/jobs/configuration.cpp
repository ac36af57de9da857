#include "wasabiroad/jobs/configuration.hpp"

namespace wasabiroad::jobs {

const Queue* findQueue(const Configuration& configuration, std::string_view host, std::string_view path)
{
    const Queue* best = nullptr;
    for (const auto& queue : configuration.queues) {
        if (queue.host == host && path.starts_with(queue.prefix)
            && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

} // namespace wasabiroad::jobs
