// Simulates a pool of inference engines in virtual time to evaluate admission
// control. An engine prefills one prompt at a time, decodes a batch whose steps
// slow down with its size, and queues requests that have no slot.
#ifndef WAGTAILSEAM_ADMISSION_TEST_POOL_SIMULATION_HPP
#define WAGTAILSEAM_ADMISSION_TEST_POOL_SIMULATION_HPP

#include "admission/admission_controller.hpp"
#include "core/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace wagtailseam::admission::test
{

struct simulation_options
{
    int workspaces = 10;
    /// Requests per second of each workspace except the first.
    double rate = 1.2;
    /// Requests per second of the first workspace; 0 disables it.
    double noisy_rate = 0;
    int engines = 4;
    std::size_t slots = 16;
    double prefill_tokens_per_second = 10000;
    double decode_step_seconds = 0.03;
    double run_seconds = 300;
    double warm_up_seconds = 60;
    /// Time from arrival to the deadline of a request.
    double timeout_seconds = 20;
    /// Whether engines schedule requests of workspaces over their share last.
    bool engine_priority = true;
    /// Whether the controller receives the number of slots.
    bool capacity_known = true;
    /// Whether admission control is enabled; otherwise each request is
    /// dispatched on arrival.
    bool admission = true;
    std::uint64_t seed = 1;
};

struct simulation_report
{
    /// Seconds from arrival to first token, of all workspaces except the first.
    std::vector<double> others_first_token;
    std::vector<double> noisy_first_token;
    std::map<result_code, int> others_refused;
    std::map<result_code, int> noisy_refused;
    int others_arrived = 0;
    int noisy_arrived = 0;
    double final_limit = 0;

    [[nodiscard]] static double quantile(std::vector<double> samples, double p)
    {
        if (samples.empty())
        {
            return 0;
        }
        std::sort(samples.begin(), samples.end());
        const auto last = static_cast<double>(samples.size() - 1);
        return samples[static_cast<std::size_t>(std::llround(p * last))];
    }
};

/// Simulates one load; equal options give equal reports.
class pool_simulation
{
public:
    explicit pool_simulation(
        const simulation_options& options,
        const admission_options& admission = {.limit = {.initial = 64}})
        : options_(options), controller_(admission), random_(options.seed),
          engines_(static_cast<std::size_t>(options.engines))
    {
        // With one random source per workspace, the load of the others does
        // not depend on the first workspace.
        for (int i = 0; i < options.workspaces; ++i)
        {
            const auto offset = static_cast<std::uint64_t>(i + 1) * 1000;
            workspace_random_.emplace_back(options.seed + offset);
        }
    }

    simulation_report run()
    {
        for (int i = 0; i < options_.workspaces; ++i)
        {
            schedule_arrival(i);
        }
        if (options_.capacity_known)
        {
            const auto engines = static_cast<std::size_t>(options_.engines);
            apply(controller_.handle(
                capacity_changed{engines * options_.slots}, random_,
                current_time()));
        }
        schedule(0.1, [this] { on_tick(); });
        while (!events_.empty() && now_ < options_.run_seconds)
        {
            const auto next = events_.top();
            events_.pop();
            now_ = next.time;
            next.action();
        }
        report_.final_limit = controller_.limit().value();
        return report_;
    }

private:
    struct scheduled_event
    {
        double time;
        std::uint64_t sequence_number;
        std::function<void()> action;
        bool operator<(const scheduled_event& other) const
        {
            return time != other.time ? time > other.time
                                      : sequence_number > other.sequence_number;
        }
    };
    struct job
    {
        int workspace = 0;
        double arrived_at = 0;
        double dispatched_at = 0;
        double prompt_tokens = 0;
        double response_tokens = 0;
        bool low_priority = false;
    };
    /// Returns requests of low priority last.
    struct priority_queue
    {
        std::deque<request_id> high;
        std::deque<request_id> low;

        [[nodiscard]] std::size_t size() const
        {
            return high.size() + low.size();
        }
        void push(const request_id& id, bool low_priority)
        {
            (low_priority ? low : high).push_back(id);
        }
        request_id pop()
        {
            auto& source = high.empty() ? low : high;
            request_id id = source.front();
            source.pop_front();
            return id;
        }
    };
    struct engine
    {
        std::size_t running = 0;
        bool prefilling = false;
        priority_queue waiting;
        priority_queue prompts;
    };

    void schedule(double time, std::function<void()> action)
    {
        events_.push({time, ++next_sequence_number_, std::move(action)});
    }
    [[nodiscard]] static duration seconds(double value)
    {
        return duration(std::llround(value * 1e6));
    }
    [[nodiscard]] random_source& random_of(int workspace)
    {
        return workspace_random_[static_cast<std::size_t>(workspace)];
    }
    [[nodiscard]] mono_time current_time() const
    {
        return mono_time(seconds(now_));
    }

    void schedule_arrival(int workspace)
    {
        const double rate =
            workspace == 0 ? options_.noisy_rate : options_.rate;
        if (rate > 0)
        {
            const double gap =
                -std::log(1 - random_of(workspace).unit()) / rate;
            schedule(now_ + gap, [this, workspace] { on_arrival(workspace); });
        }
    }

    void on_arrival(int workspace)
    {
        schedule_arrival(workspace);
        const request_id id("r" + std::to_string(++next_sequence_number_));
        job& created = jobs_[id];
        created.workspace = workspace;
        created.arrived_at = now_;
        created.prompt_tokens = 200 + 1200 * random_of(workspace).unit();
        created.response_tokens = 50 + 100 * random_of(workspace).unit();
        if (is_measured())
        {
            ++(workspace == 0 ? report_.noisy_arrived : report_.others_arrived);
        }
        if (!options_.admission)
        {
            dispatch_to_engine(id);
            return;
        }
        const double cost = created.prompt_tokens + created.response_tokens;
        apply(controller_.handle(
            request_arrived{
                .request = id,
                .workspace = workspace_id("w" + std::to_string(workspace)),
                .deadline = current_time() + seconds(options_.timeout_seconds),
                .expected_time_to_first_token = idle_estimate(created),
                .cost = token_count(static_cast<std::uint64_t>(cost))},
            random_, current_time()));
    }

    void on_tick()
    {
        apply(controller_.handle(tick{}, random_, current_time()));
        schedule(now_ + 0.1, [this] { on_tick(); });
    }

    void apply(const std::vector<admission_command>& commands)
    {
        for (const admission_command& command : commands)
        {
            std::visit(
                overloaded{
                    [&](const dispatch& dispatched)
                    {
                        jobs_.at(dispatched.request).low_priority =
                            dispatched.over_share && options_.engine_priority;
                        dispatch_to_engine(dispatched.request);
                    },
                    [&](const refuse& refusal) { on_refusal(refusal); }},
                command);
        }
    }

    void on_refusal(const refuse& refusal)
    {
        const job& refused = jobs_.at(refusal.request);
        if (is_measured())
        {
            ++(refused.workspace == 0 ? report_.noisy_refused
                                      : report_.others_refused)[refusal.code];
        }
        jobs_.erase(refusal.request);
    }

    void dispatch_to_engine(const request_id& id)
    {
        jobs_.at(id).dispatched_at = now_;
        const auto selected = std::min_element(
            engines_.begin(), engines_.end(),
            [](const engine& a, const engine& b) {
                return a.running + a.waiting.size() <
                       b.running + b.waiting.size();
            });
        selected->waiting.push(id, jobs_.at(id).low_priority);
        fill_slots(*selected);
    }

    void fill_slots(engine& target)
    {
        while (target.running < options_.slots && target.waiting.size() > 0)
        {
            const request_id id = target.waiting.pop();
            ++target.running;
            target.prompts.push(id, jobs_.at(id).low_priority);
        }
        start_prefill(target);
    }

    void start_prefill(engine& target)
    {
        if (target.prefilling || target.prompts.size() == 0)
        {
            return;
        }
        const request_id id = target.prompts.pop();
        target.prefilling = true;
        const double prefill_seconds =
            jobs_.at(id).prompt_tokens / options_.prefill_tokens_per_second;
        schedule(
            now_ + prefill_seconds,
            [this, id, &target] { on_first_token(id, target); });
    }

    void on_first_token(const request_id& id, engine& target)
    {
        target.prefilling = false;
        start_prefill(target);
        const job& current = jobs_.at(id);
        if (is_measured())
        {
            (current.workspace == 0 ? report_.noisy_first_token
                                    : report_.others_first_token)
                .push_back(now_ - current.arrived_at);
        }
        const double occupancy = static_cast<double>(target.running) /
                                 static_cast<double>(options_.slots);
        const double step_seconds =
            options_.decode_step_seconds * (1 + 0.5 * occupancy);
        schedule(
            now_ + current.response_tokens * step_seconds,
            [this, id, &target] { on_end(id, target); });
        if (options_.admission)
        {
            apply(controller_.handle(
                first_token_received{
                    id, seconds(now_ - current.dispatched_at),
                    idle_estimate(current)},
                random_, current_time()));
        }
    }

    void on_end(const request_id& id, engine& target)
    {
        --target.running;
        jobs_.erase(id);
        fill_slots(target);
        if (options_.admission)
        {
            apply(controller_.handle(
                request_finished{.request = id}, random_, current_time()));
        }
    }

    [[nodiscard]] duration idle_estimate(const job& request) const
    {
        return seconds(
            request.prompt_tokens / options_.prefill_tokens_per_second);
    }
    [[nodiscard]] bool is_measured() const
    {
        return now_ >= options_.warm_up_seconds;
    }

    simulation_options options_;
    admission_controller controller_;
    random_source random_;
    std::vector<random_source> workspace_random_;
    std::vector<engine> engines_;
    std::map<request_id, job> jobs_;
    std::priority_queue<scheduled_event> events_;
    std::uint64_t next_sequence_number_ = 0;
    double now_ = 0;
    simulation_report report_;
};

} // namespace wagtailseam::admission::test

#endif
