#include "wasabiroad/daemon/reload.hpp"
#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

namespace {

using namespace wasabiroad;
using kernel::ResultCode;

cxxopts::Options makeOptions()
{
    cxxopts::Options options { "wasabiroadd",
        "Daemon of an entry VM: places callers' requests on upstreams." };
    options.add_options()("s,settings", "Settings file (JSON); - reads the standard input",
        cxxopts::value<std::string>())("settings-variable",
        "Environment variable that holds the path of the settings file", cxxopts::value<std::string>())("set",
        "Override, as in /callers=127.0.0.1:8080", cxxopts::value<std::vector<std::string>>())("plugins",
        "List the plug-ins with their versions")("version", "Print the version")("h,help", "Print this help");
    return options;
}

std::string helpText(const cxxopts::Options& options)
{
    return options.help()
        + "\nexample: wasabiroadd --settings examples/settings.json --set /traffic-threads=4\n";
}

ResultCode listPlugins()
{
    const auto ordered = kernel::Registry::global().order();
    if (!ordered) {
        std::cerr << "code=" << number(ordered.error().code) << " " << name(ordered.error().code) << ": "
                  << ordered.error().where << " " << ordered.error().found << "\n";
        return ordered.error().code;
    }
    for (const auto* plugin : *ordered) {
        std::cout << plugin->name << " " << plugin->version.major << "." << plugin->version.minor << "\n";
    }
    return ResultCode::Ok;
}

kernel::Expected<std::string> readText(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file { path };
    if (!file) {
        return kernel::fail(ResultCode::FileUnreadable, path);
    }
    text << file.rdbuf();
    return text.str();
}

settings::Overrides readOverrides(const cxxopts::ParseResult& arguments)
{
    settings::Overrides overrides;
    if (arguments.count("set") == 0) {
        return overrides;
    }
    for (const auto& text : arguments["set"].as<std::vector<std::string>>()) {
        const auto equals = text.find('=');
        overrides[text.substr(0, equals)] = equals == std::string::npos ? "" : text.substr(equals + 1);
    }
    return overrides;
}

ResultCode report(const kernel::Errors& errors)
{
    for (const auto& error : errors) {
        std::cerr << "code=" << number(error.code) << " " << name(error.code) << " at '" << error.where
                  << "': found " << error.found << "; allowed: " << error.allowed << "\n";
    }
    return errors.front().code;
}

/** Lines are written in batches of this interval, which spares a wake-up and a system call for each. */
constexpr kernel::Duration logInterval { 50 };

boost::asio::awaitable<void> flushLogRegularly()
{
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
    while (true) {
        timer.expires_after(logInterval.chrono());
        co_await timer.async_wait(boost::asio::use_awaitable);
        kernel::flushLog();
    }
}

/**
 * Writes the last log lines and returns `code`. If nobody reads them, it ends the process with this code: a
 * flush at the exit would wait for a reader.
 */
ResultCode finishLogging(ResultCode code)
{
    if (!kernel::stopLogging()) {
        std::_Exit(kernel::exitCode(code));
    }
    return code;
}

/**
 * Runs the daemon until it is told to stop.
 * @param settings Settings in force.
 * @param readAgain Reads the settings from where they came from.
 */
ResultCode serve(
    const settings::Settings& settings, const std::function<kernel::Checked<settings::Settings>()>& readAgain)
{
    kernel::startLogging(std::cout);
    kernel::Kernel kernel { settings.trafficThreads };
    kernel.provide(std::make_shared<const settings::Settings>(settings));
    kernel::logEvent(
        "daemon-started", { { "entry", settings.entry.text() }, { "zone", settings.zone.text() } });
    if (const auto started = kernel.start(kernel::Registry::global()); !started) {
        return finishLogging(report({ started.error() }));
    }
    boost::asio::signal_set signals { kernel.threads().control(), SIGINT, SIGTERM };
    signals.async_wait([&kernel](boost::system::error_code failed, int) {
        if (!failed) {
            kernel.shutDown();
        }
    });
    const daemon::Reload reload { kernel.threads().control(), settings, readAgain };
    boost::asio::co_spawn(kernel.threads().control(), flushLogRegularly(), boost::asio::detached);
    kernel.run();
    return finishLogging(ResultCode::Ok);
}

std::optional<std::string> settingsPath(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings") != 0) {
        return arguments["settings"].as<std::string>();
    }
    if (arguments.count("settings-variable") != 0) {
        // The environment is not changed after the start.
        const auto* const path = std::getenv( // NOLINT(concurrency-mt-unsafe)
            arguments["settings-variable"].as<std::string>().c_str());
        return path != nullptr ? std::optional<std::string> { path } : std::nullopt;
    }
    return std::nullopt;
}

ResultCode run(int argc, char** argv)
{
    auto options = makeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << helpText(options);
        return ResultCode::Ok;
    }
    if (arguments.count("version") != 0) {
        std::cout << "wasabiroadd " WASABIROAD_VERSION "\n";
        return ResultCode::Ok;
    }
    if (arguments.count("plugins") != 0) {
        return listPlugins();
    }
    const auto path = settingsPath(arguments);
    if (!path) {
        std::cerr << "wasabiroadd: --settings is required\n" << helpText(options);
        return ResultCode::InvalidArguments;
    }
    const auto overrides = readOverrides(arguments);
    const auto read = [&]() -> kernel::Checked<settings::Settings> {
        const auto text = readText(*path);
        if (!text) {
            return tl::unexpected(kernel::Errors { text.error() });
        }
        return settings::read(*text, overrides);
    };
    const auto settings = read();
    return settings ? serve(*settings, read) : report(settings.error());
}

} // namespace

int main(int argc, char** argv)
{
    // A hangup before the settings are read needs no answer: they are read after it. The default would end
    // the process.
    std::signal(SIGHUP, SIG_IGN);
    // A log without a reader must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return kernel::exitCode(run(argc, argv));
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << "wasabiroadd: " << exception.what() << "\n";
        return kernel::exitCode(ResultCode::InvalidArguments);
    }
}
