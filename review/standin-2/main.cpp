#include "cases.hpp"

#include <cstdlib>
#include <iostream>

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

} // namespace

/** Plays one case: CASE PROGRAM FOLDER RECORD TROUBLE. */
int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: standin CASE PROGRAM FOLDER RECORD TROUBLE\n";
        return notRun;
    }
    const std::string name { argv[1] };
    const bool trouble = std::string { argv[5] } != "0";
    const auto found = review::cases().find(name);
    if (found == review::cases().end()) {
        std::cerr << "no case " << name << "\n";
        return notRun;
    }
    boost::asio::io_context context;
    review::Journal journal { argv[4] };
    journal.write("case " + name + (trouble ? " with" : " without") + " the disruption");
    review::World world { context, argv[2], argv[3], journal, trouble ? found->second.firstRevision : 1 };
    bool ran = false;
    wasabiroad::soak::start(context,
        [](review::World& of, const review::Case& what, bool with, bool& done,
            boost::asio::io_context& io) -> review::Task<> {
            done = co_await what.play(of, with);
            io.stop();
        }(world, found->second, trouble, ran, context));
    context.run();
    const auto result = !ran ? notRun : journal.violations().empty() ? held : broken;
    journal.write("verdict " + std::to_string(result));
    for (const auto& violation : journal.violations()) {
        std::cout << violation << "\n";
    }
    std::cout << name << ": "
              << (result == held            ? "held"
                         : result == broken ? "broken"
                                            : "not run")
              << std::endl;
    world.daemons().clear();
    // Coroutines that still wait end with the process.
    std::_Exit(result);
}
