#include "wasabiroad/bench/make_manifest.hpp"
#include "wasabiroad/launch/call.hpp"
#include "wasabiroad/launch/process.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cxxopts.hpp>
#include <unistd.h>
#include <zmq.h>

// Measures processor time, resident memory, bytes a second and the delay of a change for a number of
// daemons on loopback. Prints one line per scenario and the slopes between the first and the last one.

namespace {

using namespace wasabiroad;
using Clock = std::chrono::system_clock;

constexpr kernel::Duration bound { 120000 };
/** ZMTP frame and CURVE box around a message, and TCP and IPv4 headers of a packet with timestamps. */
constexpr double encryptionBytes = 35;
constexpr double packetBytes = 52;

struct Scenario {
    const std::uint32_t daemons { 4 };
    const std::uint32_t zones { 1 };
    const std::uint32_t vms { 52 };
    /** Time between two changes, 0 for none. */
    const std::uint32_t changeMs { 0 };
    const std::uint32_t seconds { 20 };
    /** Only the first daemon reaches the platform; the others learn from peers. */
    const bool peersAlone { false };
};

struct Sample {
    double cpuSeconds { 0 };
    double residentMb { 0 };
    double messages { 0 };
    double bytes { 0 };
};

struct Result {
    double cpuPercent { 0 };
    double maxCpuPercent { 0 };
    double residentMb { 0 };
    double maxResidentMb { 0 };
    double messages { 0 };
    double bytes { 0 };
    double maxBytes { 0 };
    double platformReads { 0 };
    double platformWrites { 0 };
    std::vector<double> delays {};
};

struct Keys {
    std::string publicKey;
    std::string secretKey;
    std::string address;
};

std::string freeAddress(std::uint32_t index)
{
    const auto id = static_cast<unsigned>(::getpid());
    const auto host = "127." + std::to_string(64 + id % 100) + "." + std::to_string(id / 100 % 250) + "."
        + std::to_string(1 + index);
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor { context, { boost::asio::ip::make_address(host), 0 } };
    return host + ":" + std::to_string(acceptor.local_endpoint().port());
}

std::vector<Keys> makeKeys(std::uint32_t count)
{
    std::vector<Keys> keys;
    for (std::uint32_t index = 0; index < count; ++index) {
        std::array<char, 41> publicKey {};
        std::array<char, 41> secretKey {};
        zmq_curve_keypair(publicKey.data(), secretKey.data());
        keys.push_back({ publicKey.data(), secretKey.data(), freeAddress(index) });
    }
    return keys;
}

std::string nameOf(std::uint32_t index) { return "entry-" + std::to_string(index); }

std::string settingsOf(
    const Scenario& scenario, const std::vector<Keys>& keys, std::uint32_t own, const std::string& platform)
{
    boost::json::array entries;
    for (std::uint32_t index = 0; index < keys.size(); ++index) {
        entries.push_back(
            { { "entry", nameOf(index) }, { "zone", "zone-" + std::to_string(index % scenario.zones) },
                { "address", keys[index].address }, { "public-key", keys[index].publicKey } });
    }
    boost::json::object settings { { "version", 1 }, { "entry", nameOf(own) },
        { "zone", "zone-" + std::to_string(own % scenario.zones) }, { "callers", "127.0.0.1:0" },
        { "operators", "127.0.0.1:0" }, { "traffic-threads", 1 },
        { "platform", scenario.peersAlone && own != 0 ? "127.0.0.1:1" : platform } };
    if (scenario.daemons > 1) {
        settings["peers"] = { { "listen", keys[own].address }, { "secret-key", keys[own].secretKey },
            { "entries", entries } };
    }
    return boost::json::serialize(settings);
}

double metricOf(const std::string& text, const std::string& name)
{
    const auto found = ("\n" + text).find("\n" + name + " ");
    return found == std::string::npos ? 0 : std::strtod(text.c_str() + found + name.size(), nullptr);
}

double cpuSecondsOf(int id)
{
    double nanoseconds = 0;
    for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(id) + "/task")) {
        std::ifstream file { task.path() / "schedstat" };
        double running = 0;
        file >> running;
        nanoseconds += running;
    }
    return nanoseconds / 1e9;
}

double residentMbOf(int id)
{
    std::ifstream file { "/proc/" + std::to_string(id) + "/status" };
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::strtod(line.c_str() + 6, nullptr) / 1024;
        }
    }
    return 0;
}

/** @return Time of a log line, as in `time=2026-12-04T11:45:13.123Z`, with a resolution of 1 ms. */
Clock::time_point timeOf(const std::string& line)
{
    std::istringstream text { launch::valueOf(line, "time") };
    std::tm parts {};
    double fraction = 0;
    text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> fraction;
    return Clock::from_time_t(::timegm(&parts)) + std::chrono::milliseconds { std::lround(fraction * 1000) };
}

class Run {
public:
    explicit Run(const Scenario& measured)
        : scenario(measured)
        , programs(launch::programFolder())
        , platform({ this->programs + "/wasabiroad-standin", { "platform" } })
        , platformAddress(this->platform.address("platform").value())
        , keys(makeKeys(measured.daemons))
    {
        for (std::uint32_t index = 0; index < measured.daemons; ++index) {
            this->daemons.push_back(
                std::make_unique<launch::Process>(launch::ProcessOptions { this->programs + "/wasabiroadd",
                    { "--settings", "-" }, settingsOf(measured, this->keys, index, this->platformAddress) }));
        }
    }

    Result measure()
    {
        apply();
        waitForAll();
        // The members settle and the message counts are published once.
        std::this_thread::sleep_for(std::chrono::seconds { 6 });
        const auto before = samples();
        const auto callsBefore = platformCalls();
        const auto start = std::chrono::steady_clock::now();
        const auto end = start + std::chrono::seconds { this->scenario.seconds };
        Result result;
        while (this->scenario.changeMs != 0 && std::chrono::steady_clock::now() < end) {
            const auto next
                = std::chrono::steady_clock::now() + std::chrono::milliseconds { this->scenario.changeMs };
            apply();
            const auto delays = waitForAll();
            result.delays.insert(result.delays.end(), delays.begin(), delays.end());
            std::this_thread::sleep_until(next);
        }
        std::this_thread::sleep_until(end);
        const auto after = samples();
        const auto calls = platformCalls();
        const std::chrono::duration<double> window = std::chrono::steady_clock::now() - start;
        summarise(before, after, window.count(), result);
        result.platformReads = (calls.first - callsBefore.first) / window.count();
        result.platformWrites = (calls.second - callsBefore.second) / window.count();
        return result;
    }

private:
    /** Puts the next revision in force; its generation is the number of calls. */
    void apply()
    {
        const auto text = bench::makeManifest(
            { this->scenario.vms, std::max(3U, this->scenario.zones), this->scenario.vms > 1000 ? 29U : 6U,
                this->scenario.vms > 1000 ? 260U : 3U, ++this->generation });
        this->applied = Clock::now();
        launch::Process tool { { this->programs + "/wasabiroad",
            { "apply", "--manifest", "-", "--platform", this->platformAddress }, text } };
        if (!tool.waitForLine("generation=", bound)) {
            std::cerr << "control-cost: the tool put no generation in force\n";
            std::exit(1);
        }
    }

    /** @return Delays in ms from the start of the operators' call to the adoption by each daemon. */
    std::vector<double> waitForAll()
    {
        const auto text = "event=configuration-adopted generation=" + std::to_string(this->generation) + " ";
        std::vector<double> delays;
        for (std::size_t index = 0; index < this->daemons.size(); ++index) {
            const auto line = this->daemons[index]->waitForLine(text, bound);
            if (!line) {
                std::cerr << "control-cost: daemon " << index << " did not adopt generation "
                          << this->generation << "\n";
                std::exit(1);
            }
            delays.push_back(
                std::chrono::duration<double, std::milli>(timeOf(*line) - this->applied).count());
        }
        return delays;
    }

    std::vector<Sample> samples()
    {
        std::vector<Sample> all;
        for (const auto& daemon : this->daemons) {
            const auto operators = daemon->address("operators").value();
            const auto response = launch::send({ .address = operators, .target = "/metrics" });
            const auto text = response ? response->body() : std::string {};
            all.push_back({ cpuSecondsOf(daemon->id()), residentMbOf(daemon->id()),
                metricOf(text, "wasabiroad_peer_sent_messages_total")
                    + metricOf(text, "wasabiroad_peer_received_messages_total"),
                metricOf(text, "wasabiroad_peer_sent_bytes_total")
                    + metricOf(text, "wasabiroad_peer_received_bytes_total") });
        }
        return all;
    }

    /** @return Reads and writes so far, those of the operators' tool included. */
    std::pair<double, double> platformCalls()
    {
        const auto response = launch::send({ .address = this->platformAddress, .target = "/admin/calls" });
        const auto document = boost::json::parse(response.value().body());
        return { document.at("reads").to_number<double>(), document.at("writes").to_number<double>() };
    }

    static void summarise(
        const std::vector<Sample>& before, const std::vector<Sample>& after, double seconds, Result& result)
    {
        const auto count = static_cast<double>(before.size());
        for (std::size_t index = 0; index < before.size(); ++index) {
            const auto cpu = 100 * (after[index].cpuSeconds - before[index].cpuSeconds) / seconds;
            const auto messages = (after[index].messages - before[index].messages) / seconds;
            const auto bytes = (after[index].bytes - before[index].bytes) / seconds;
            result.cpuPercent += cpu / count;
            result.maxCpuPercent = std::max(result.maxCpuPercent, cpu);
            result.residentMb += after[index].residentMb / count;
            result.maxResidentMb = std::max(result.maxResidentMb, after[index].residentMb);
            result.messages += messages / count;
            result.bytes += bytes / count;
            result.maxBytes = std::max(result.maxBytes, bytes);
        }
    }

    const Scenario scenario;
    const std::string programs;
    launch::Process platform;
    const std::string platformAddress;
    const std::vector<Keys> keys;
    std::vector<std::unique_ptr<launch::Process>> daemons {};
    std::uint32_t generation { 0 };
    Clock::time_point applied {};
};

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto place = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size()))) - 1;
    return values[std::min(place, values.size() - 1)];
}

void print(const Scenario& scenario, const Result& result)
{
    std::cout << "daemons=" << scenario.daemons << " zones=" << scenario.zones << " vms=" << scenario.vms
              << " change-ms=" << scenario.changeMs << " peers-alone=" << scenario.peersAlone
              << " cpu-percent=" << result.cpuPercent << " cpu-percent-max=" << result.maxCpuPercent
              << " resident-mb=" << result.residentMb << " resident-mb-max=" << result.maxResidentMb
              << " messages-per-s=" << result.messages << " payload-bytes-per-s=" << result.bytes
              << " payload-bytes-per-s-max=" << result.maxBytes
              << " encrypted-bytes-per-s=" << result.bytes + result.messages * encryptionBytes
              << " wire-bytes-per-s=" << result.bytes + result.messages * (encryptionBytes + packetBytes)
              << " platform-reads-per-s=" << result.platformReads
              << " platform-writes-per-s=" << result.platformWrites;
    if (!result.delays.empty()) {
        std::cout << " changes=" << result.delays.size() / scenario.daemons
                  << " delay-p50-ms=" << percentile(result.delays, 0.5)
                  << " delay-p99-ms=" << percentile(result.delays, 0.99);
    }
    std::cout << std::endl;
}

std::vector<std::uint32_t> numbers(const cxxopts::ParseResult& arguments, const char* name)
{
    return arguments[name].as<std::vector<std::uint32_t>>();
}

/** Slopes by least squares over the scenarios of one series. */
void printSlopes(
    const std::string& variable, const std::vector<double>& x, const std::vector<Result>& results)
{
    const auto slope = [&](double Result::*member) {
        const auto count = static_cast<double>(x.size());
        const auto meanX = std::accumulate(x.begin(), x.end(), 0.0) / count;
        double meanY = 0;
        for (const auto& result : results) {
            meanY += result.*member / count;
        }
        double above = 0;
        double below = 0;
        for (std::size_t index = 0; index < x.size(); ++index) {
            above += (x[index] - meanX) * (results[index].*member - meanY);
            below += (x[index] - meanX) * (x[index] - meanX);
        }
        return above / below;
    };
    if (x.size() > 1) {
        std::cout << "slope per " << variable << ": cpu-percent=" << slope(&Result::cpuPercent)
                  << " resident-mb=" << slope(&Result::residentMb)
                  << " messages-per-s=" << slope(&Result::messages)
                  << " payload-bytes-per-s=" << slope(&Result::bytes) << std::endl;
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options { "control-cost", "Measures what control costs a daemon." };
    options.add_options()(
        "daemons", "Numbers of daemons", cxxopts::value<std::vector<std::uint32_t>>()->default_value("4"))(
        "zones", "Numbers of zones", cxxopts::value<std::vector<std::uint32_t>>()->default_value("1"))("vms",
        "Numbers of VMs in the manifest",
        cxxopts::value<std::vector<std::uint32_t>>()->default_value("52"))("change-ms",
        "Times between two changes", cxxopts::value<std::vector<std::uint32_t>>()->default_value("0"))(
        "seconds", "Length of a measurement", cxxopts::value<std::uint32_t>()->default_value("20"))(
        "peers-alone", "Only one daemon reaches the platform")("h,help", "Print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help() << "\nexample: control-cost --daemons 1,4,8,16,32 --zones 1\n";
        return 0;
    }
    for (const auto zones : numbers(arguments, "zones")) {
        for (const auto change : numbers(arguments, "change-ms")) {
            std::vector<double> daemonCounts;
            std::vector<double> vmCounts;
            std::vector<Result> results;
            for (const auto daemons : numbers(arguments, "daemons")) {
                for (const auto vms : numbers(arguments, "vms")) {
                    const Scenario scenario { daemons, zones, vms, change,
                        arguments["seconds"].as<std::uint32_t>(), arguments.count("peers-alone") != 0 };
                    results.push_back(Run { scenario }.measure());
                    print(scenario, results.back());
                    daemonCounts.push_back(daemons);
                    vmCounts.push_back(vms);
                }
            }
            if (numbers(arguments, "daemons").size() > 1) {
                printSlopes("daemon", daemonCounts, results);
            } else {
                printSlopes("VM", vmCounts, results);
            }
        }
    }
    return 0;
}
