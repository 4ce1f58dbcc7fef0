// Prints how many upstreams a poison prompt takes down when its caller sends it
// 100 times, in virtual time, by what entries know of each other.
#include "quarantine/test/poison_prompt_simulation.hpp"

#include <cstdio>

namespace
{

using namespace wagtailseam;
using namespace wagtailseam::quarantine::test;

void print(const char* what, simulation_options options)
{
    constexpr int histories = 200;
    int most = 0;
    int total = 0;
    int unfinished = 0;
    for (int i = 1; i <= histories; ++i)
    {
        options.seed = static_cast<std::uint64_t>(i);
        simulation one(options);
        one.run();
        most = std::max(most, one.crashes);
        total += one.crashes;
        unfinished += one.bystanders_unfinished;
    }
    std::printf(
        "| %s | %zu | %.2f | %d | %d |\n", what, options.entries,
        static_cast<double>(total) / histories, most, unfinished);
}

} // namespace

int main()
{
    std::printf("| entries learn by | entries | upstreams lost, mean | most | "
                "bystanders unfinished |\n| --- | --- | --- | --- | --- |\n");
    for (const std::size_t entries : {2U, 3U, 8U, 30U})
    {
        print("table alone", {.entries = entries, .peers = 0});
        print(
            "table and two boards", {.entries = entries, .message_loss = 0.01});
        print(
            "two boards that lose one message in five",
            {.entries = entries, .message_loss = 0.2});
    }
    return 0;
}
