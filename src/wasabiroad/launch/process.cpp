#include "wasabiroad/launch/process.hpp"

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <thread>

#include <boost/filesystem.hpp>
#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>

namespace wasabiroad::launch {

namespace process = boost::process;

struct Process::State {
    process::ipstream output {};
    process::opstream input {};
    process::child child {};
    std::thread reader {};
    mutable std::mutex mutex {};
    mutable std::condition_variable changed {};
    std::vector<std::string> lines {};
    bool closed { false };

    void read()
    {
        std::string line;
        while (std::getline(this->output, line)) {
            const std::lock_guard lock { this->mutex };
            this->lines.push_back(line);
            this->changed.notify_all();
        }
        const std::lock_guard lock { this->mutex };
        this->closed = true;
        this->changed.notify_all();
    }

    const std::string* find(const std::string& text) const
    {
        for (const auto& line : this->lines) {
            if (line.find(text) != std::string::npos) {
                return &line;
            }
        }
        return nullptr;
    }
};

Process::Process(const ProcessOptions& options)
    : state(std::make_unique<State>())
{
    this->state->child = process::child { process::exe = options.program, process::args = options.arguments,
        process::std_out > this->state->output, process::std_in < this->state->input };
    this->state->input << options.input << std::flush;
    this->state->input.pipe().close();
    this->state->reader = std::thread { [state = this->state.get()] { state->read(); } };
}

Process::~Process()
{
    if (this->state->child.running()) {
        signal(SIGKILL);
    }
    this->state->child.wait();
    this->state->reader.join();
}

std::optional<std::string> Process::waitForLine(const std::string& text, kernel::Duration timeout) const
{
    std::unique_lock lock { this->state->mutex };
    this->state->changed.wait_for(
        lock, timeout.chrono(), [&] { return this->state->closed || this->state->find(text) != nullptr; });
    const auto* const line = this->state->find(text);
    return line == nullptr ? std::nullopt : std::optional { *line };
}

kernel::Expected<std::string> Process::address(const std::string& listener, kernel::Duration timeout) const
{
    const auto line = waitForLine("event=listening listener=" + listener + " ", timeout);
    if (!line) {
        return kernel::fail(kernel::ResultCode::PeerUnreachable, listener, "no address was announced");
    }
    return valueOf(*line, "address");
}

std::size_t Process::count(const std::string& text) const
{
    const std::lock_guard lock { this->state->mutex };
    std::size_t found = 0;
    for (const auto& line : this->state->lines) {
        found += line.find(text) != std::string::npos ? 1U : 0U;
    }
    return found;
}

void Process::signal(int number) const { ::kill(this->state->child.id(), number); }

std::optional<int> Process::wait(kernel::Duration timeout)
{
    // The output closes when the process ends, so that the wait needs no polling in the usual case.
    std::unique_lock lock { this->state->mutex };
    const bool closed
        = this->state->changed.wait_for(lock, timeout.chrono(), [&] { return this->state->closed; });
    lock.unlock();
    if (!closed) {
        return std::nullopt;
    }
    this->state->child.wait();
    return this->state->child.exit_code();
}

int Process::id() const { return this->state->child.id(); }

std::string valueOf(const std::string& line, const std::string& key)
{
    const auto found = (" " + line).find(" " + key + "=");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + key.size() + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

std::string programFolder()
{
    return boost::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

} // namespace wasabiroad::launch
