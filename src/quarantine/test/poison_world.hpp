// Entries, the table and boards in virtual time, with a poison prompt that is
// sent again and again.
#ifndef WAGTAILSEAM_QUARANTINE_TEST_POISON_WORLD_HPP
#define WAGTAILSEAM_QUARANTINE_TEST_POISON_WORLD_HPP

#include "core/overloaded.hpp"
#include "quarantine/quarantine_core.hpp"
#include "table_service/memory_table.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace wagtailseam::quarantine::test
{

inline fingerprint prompt(const std::string& name)
{
    return fingerprint_of(workspace_id("w"), model_id("m"), sha256(name));
}

struct world_options
{
    std::size_t entries = 3;
    /// Boards that entries ask before a run; each answer is lost at times.
    std::size_t homes = 2;
    double loss = 0.2;
    /// Chance that the answer to a write is lost after it took effect.
    double write_answer_lost = 0.2;
    int most_lost_in_row = 2;
    int resends = 100;
    duration longest_gap = std::chrono::milliseconds(300);
    std::uint64_t seed = 1;
};

/// Entries, a table and boards on virtual time; a caller sends one poison
/// prompt again and again, each time through another entry.
class world
{
public:
    explicit world(const world_options& options)
        : options_(options), random_(options.seed), entries_(options.entries),
          homes_(options.homes)
    {
    }

    void run()
    {
        for (int i = 0; i < options_.resends; ++i)
        {
            send_poison(random_.below(entries_.size()));
            const auto most =
                static_cast<std::uint64_t>(options_.longest_gap.count());
            wait(duration(static_cast<std::int64_t>(random_.below(most + 1))));
        }
    }

    /// Lets virtual time pass; ticks come every 50 ms.
    void wait(duration length)
    {
        const mono_time end = now_ + length;
        while (now_ < end)
        {
            now_ = std::min(end, now_ + std::chrono::milliseconds(50));
            for (std::size_t i = 0; i < entries_.size(); ++i)
            {
                give(i, tick{});
            }
            deliver();
        }
    }

    void give(std::size_t entry, const event& happened)
    {
        obey(entry, entries_[entry].handle(happened, random_, time()));
    }
    [[nodiscard]] verdict check(std::size_t entry, const fingerprint& of) const
    {
        return entries_[entry].check(of, time().wall);
    }

    int crashes = 0;
    int refused = 0;
    /// Bystanders that were left without an answer.
    int bystanders_unfinished = 0;
    std::vector<fingerprint> bystanders;
    table_service::memory_table table;
    bool table_down = false;

private:
    struct message
    {
        mono_time due;
        std::size_t entry;
        event what;
    };

    [[nodiscard]] quarantine_time time() const
    {
        return {now_, wall_time(now_.time_since_epoch())};
    }
    bool lost(double chance) { return random_.unit() < chance; }

    void send_poison(std::size_t entry)
    {
        const fingerprint poison = prompt("poison");
        for (int attempt = 0; attempt < 4; ++attempt)
        {
            ask_homes(entry, poison);
            const verdict now = check(entry, poison);
            if (std::holds_alternative<quarantined>(now))
            {
                ++refused;
                return;
            }
            const bool alone = std::holds_alternative<suspect>(now);
            crash_with(entry, poison, alone);
            wait_for_write(entry, poison);
        }
    }

    void crash_with(std::size_t entry, const fingerprint& poison, bool alone)
    {
        const crash_id crash("u/1/" + std::to_string(++crashes));
        std::vector<fingerprint> present{poison};
        for (int i = 0; !alone && i < 3; ++i)
        {
            const auto number = std::to_string(bystanders.size());
            bystanders.push_back(prompt("bystander" + number));
            present.push_back(bystanders.back());
        }
        wait(std::chrono::milliseconds(100));
        give(entry, crash_seen{crash, present});
        for (const fingerprint& one : present)
        {
            if (one == poison)
            {
                continue;
            }
            ask_homes(entry, one);
            if (std::holds_alternative<quarantined>(check(entry, one)))
            {
                ++bystanders_unfinished;
                continue;
            }
            give(entry, run_finished{one});
        }
    }

    /// A struck prompt waits at most a second for its strike's write.
    void wait_for_write(std::size_t entry, const fingerprint& of)
    {
        for (int i = 0; i < 20 && entries_[entry].unwritten(of); ++i)
        {
            wait(std::chrono::milliseconds(50));
        }
    }

    void ask_homes(std::size_t entry, const fingerprint& of)
    {
        for (const strike_board& home : homes_)
        {
            const strike_record* const known = home.find(of);
            if (known != nullptr && !lost(options_.loss))
            {
                give(entry, heard{{{of, *known}}});
            }
        }
    }

    void obey(std::size_t entry, const std::vector<command>& commands)
    {
        for (const command& one : commands)
        {
            std::visit(
                overloaded{
                    [&](const write& asked) { on_write(entry, asked); },
                    [&](const scan&) { on_scan(entry); },
                    [&](const tell& told) { on_tell(told); }},
                one);
        }
    }

    void on_tell(const tell& told)
    {
        for (strike_board& home : homes_)
        {
            for (const auto& [of, record] : told.records)
            {
                if (!lost(options_.loss))
                {
                    home.merge(of, record);
                }
            }
        }
    }

    void on_write(std::size_t entry, const write& asked)
    {
        table_service::transaction_result answer = table_service::rejected{};
        if (!table_down)
        {
            answer = table.apply(asked.rows);
            const bool may_lose = lost_in_row_ < options_.most_lost_in_row;
            const bool loses = may_lose && lost(options_.write_answer_lost);
            lost_in_row_ = loses ? lost_in_row_ + 1 : 0;
            if (loses)
            {
                answer = table_service::outcome_unknown{};
            }
        }
        post(entry, write_answered{asked.number, answer});
    }

    void on_scan(std::size_t entry)
    {
        table_service::scan_result answer = table_service::read_failed{};
        if (!table_down)
        {
            answer = table.scan(table_name, "");
        }
        post(entry, scan_answered{answer});
    }

    void post(std::size_t entry, event what)
    {
        const auto delay = static_cast<std::int64_t>(random_.below(100));
        mail_.push_back(
            {now_ + std::chrono::milliseconds(delay), entry, std::move(what)});
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(
            mail_,
            [&](const message& one)
            {
                const bool now = one.due <= now_;
                if (now)
                {
                    due.push_back(one);
                }
                return now;
            });
        for (const message& one : due)
        {
            give(one.entry, one.what);
        }
    }

    world_options options_;
    random_source random_;
    std::vector<quarantine_core> entries_;
    std::vector<strike_board> homes_;
    std::deque<message> mail_;
    int lost_in_row_ = 0;
    mono_time now_{std::chrono::seconds(1000)};
};

} // namespace wagtailseam::quarantine::test

#endif
