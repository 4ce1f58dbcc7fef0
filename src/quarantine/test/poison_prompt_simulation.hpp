// Entries, the table and boards in virtual time, with a poison prompt that is
// sent again and again.
#ifndef WAGTAILSEAM_QUARANTINE_TEST_POISON_PROMPT_SIMULATION_HPP
#define WAGTAILSEAM_QUARANTINE_TEST_POISON_PROMPT_SIMULATION_HPP

#include "core/overloaded.hpp"
#include "quarantine/quarantine_state_machine.hpp"
#include "table_service/memory_table.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace wagtailseam::quarantine::test
{

inline prompt_fingerprint prompt(const std::string& name)
{
    return make_prompt_fingerprint(
        workspace_id("w"), model_id("m"), sha256(name));
}

struct simulation_options
{
    std::size_t entries = 3;
    /// Boards that entries ask before a run; each answer is lost at times.
    std::size_t peers = 2;
    double message_loss = 0.2;
    /// Chance that the answer to a write is lost after it took effect.
    double write_answer_loss = 0.2;
    int max_consecutive_losses = 2;
    int resends = 100;
    duration max_resend_gap = std::chrono::milliseconds(300);
    std::uint64_t seed = 1;
};

/// Entries, a table and boards on virtual time; a caller sends one poison
/// prompt again and again, each time through another entry.
class simulation
{
public:
    explicit simulation(const simulation_options& options)
        : options_(options), random_(options.seed), entries_(options.entries),
          peers_(options.peers)
    {
    }

    void run()
    {
        for (int i = 0; i < options_.resends; ++i)
        {
            send_poison(random_.below(entries_.size()));
            const auto most =
                static_cast<std::uint64_t>(options_.max_resend_gap.count());
            advance_time(
                duration(static_cast<std::int64_t>(random_.below(most + 1))));
        }
    }

    /// Lets virtual time pass; ticks come every 50 ms.
    void advance_time(duration length)
    {
        const mono_time end = now_ + length;
        while (now_ < end)
        {
            now_ = std::min(end, now_ + std::chrono::milliseconds(50));
            for (std::size_t i = 0; i < entries_.size(); ++i)
            {
                handle_event(i, tick{});
            }
            deliver_due_events();
        }
    }

    void handle_event(std::size_t entry, const event& event_received)
    {
        execute(entry, entries_[entry].handle(event_received, random_, time()));
    }
    [[nodiscard]] prompt_status check(
        std::size_t entry, const prompt_fingerprint& of) const
    {
        return entries_[entry].check(of, time().wall);
    }

    int crashes = 0;
    int refused = 0;
    /// Bystanders that were left without an answer.
    int bystanders_unfinished = 0;
    std::vector<prompt_fingerprint> bystanders;
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
        const prompt_fingerprint poison = prompt("poison");
        for (int attempt = 0; attempt < 4; ++attempt)
        {
            query_peers(entry, poison);
            const prompt_status now = check(entry, poison);
            if (std::holds_alternative<quarantined>(now))
            {
                ++refused;
                return;
            }
            const bool alone = std::holds_alternative<suspect>(now);
            crash_upstream(entry, poison, alone);
            wait_for_write(entry, poison);
        }
    }

    void crash_upstream(
        std::size_t entry, const prompt_fingerprint& poison, bool alone)
    {
        const crash_id crash("u/1/" + std::to_string(++crashes));
        std::vector<prompt_fingerprint> running_prompts{poison};
        for (int i = 0; !alone && i < 3; ++i)
        {
            const auto number = std::to_string(bystanders.size());
            bystanders.push_back(prompt("bystander" + number));
            running_prompts.push_back(bystanders.back());
        }
        advance_time(std::chrono::milliseconds(100));
        handle_event(entry, crash_observed{crash, running_prompts});
        for (const prompt_fingerprint& one : running_prompts)
        {
            if (one == poison)
            {
                continue;
            }
            query_peers(entry, one);
            if (std::holds_alternative<quarantined>(check(entry, one)))
            {
                ++bystanders_unfinished;
                continue;
            }
            handle_event(entry, run_finished{one});
        }
    }

    /// A struck prompt waits at most a second for its strike's write.
    void wait_for_write(std::size_t entry, const prompt_fingerprint& of)
    {
        for (int i = 0; i < 20 && entries_[entry].has_unwritten_record(of); ++i)
        {
            advance_time(std::chrono::milliseconds(50));
        }
    }

    void query_peers(std::size_t entry, const prompt_fingerprint& of)
    {
        for (const crash_record_cache& peer : peers_)
        {
            const crash_record* const known = peer.find(of);
            if (known != nullptr && !lost(options_.message_loss))
            {
                handle_event(entry, records_received{{{of, *known}}});
            }
        }
    }

    void execute(std::size_t entry, const std::vector<command>& commands)
    {
        for (const command& one : commands)
        {
            std::visit(
                overloaded{
                    [&](const write& asked) { on_write(entry, asked); },
                    [&](const scan&) { on_scan(entry); },
                    [&](const publish_records& told)
                    { on_publish_records(told); }},
                one);
        }
    }

    void on_publish_records(const publish_records& told)
    {
        for (crash_record_cache& peer : peers_)
        {
            for (const auto& [of, record] : told.records)
            {
                if (!lost(options_.message_loss))
                {
                    peer.merge(of, record);
                }
            }
        }
    }

    void on_write(std::size_t entry, const write& asked)
    {
        table_service::transaction_answer answer = table_service::refused{};
        if (!table_down)
        {
            answer = table.apply(asked.rows);
            const bool may_lose =
                consecutive_losses_ < options_.max_consecutive_losses;
            const bool loses = may_lose && lost(options_.write_answer_loss);
            consecutive_losses_ = loses ? consecutive_losses_ + 1 : 0;
            if (loses)
            {
                answer = table_service::answer_lost{};
            }
        }
        schedule_event(entry, write_answered{asked.number, answer});
    }

    void on_scan(std::size_t entry)
    {
        table_service::scan_answer answer = table_service::read_failed{};
        if (!table_down)
        {
            answer = table.scan(table_name, "");
        }
        schedule_event(entry, scan_answered{answer});
    }

    void schedule_event(std::size_t entry, event what)
    {
        const auto delay = static_cast<std::int64_t>(random_.below(100));
        pending_events_.push_back(
            {now_ + std::chrono::milliseconds(delay), entry, std::move(what)});
    }

    void deliver_due_events()
    {
        std::vector<message> due;
        std::erase_if(
            pending_events_,
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
            handle_event(one.entry, one.what);
        }
    }

    simulation_options options_;
    random_source random_;
    std::vector<quarantine_state_machine> entries_;
    std::vector<crash_record_cache> peers_;
    std::deque<message> pending_events_;
    int consecutive_losses_ = 0;
    mono_time now_{std::chrono::seconds(1000)};
};

} // namespace wagtailseam::quarantine::test

#endif
