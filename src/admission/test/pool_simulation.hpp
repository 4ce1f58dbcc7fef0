// A pool of model engines in virtual time, to measure admission by. Engines
// prefill one prompt at a time, decode a batch that slows as it fills, and
// queue what finds no slot.
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

struct model_options
{
    int workspaces = 10;
    /// Requests a second of each workspace but the first.
    double rate = 1.2;
    /// Requests a second of the first; 0 leaves it out.
    double noisy_rate = 0;
    int engines = 4;
    std::size_t slots = 16;
    double prefill_tokens_per_second = 10000;
    double decode_step_seconds = 0.03;
    double run_seconds = 300;
    double warm_up_seconds = 60;
    /// Time a caller gives a request.
    double patience_seconds = 20;
    /// Whether engines prefill requests of workspaces over their share last.
    bool engine_priority = true;
    /// Whether the core is told the number of slots.
    bool capacity_known = true;
    /// Whether the core decides, or each request is dispatched on arrival.
    bool admission = true;
    std::uint64_t seed = 1;
};

struct model_report
{
    /// Seconds from arrival to first token, of all workspaces but the first.
    std::vector<double> others_first_token;
    std::vector<double> noisy_first_token;
    std::map<result_code, int> others_refused;
    std::map<result_code, int> noisy_refused;
    int others_asked = 0;
    int noisy_asked = 0;
    double final_limit = 0;

    [[nodiscard]] static double quantile(std::vector<double> of, double p)
    {
        if (of.empty())
        {
            return 0;
        }
        std::sort(of.begin(), of.end());
        const auto last = static_cast<double>(of.size() - 1);
        return of[static_cast<std::size_t>(std::llround(p * last))];
    }
};

/// Runs one load in virtual time; the same options give the same report.
class server_model
{
public:
    explicit server_model(
        const model_options& options,
        const admission_options& admission = {.limit = {.initial = 64}})
        : options_(options), core_(admission), random_(options.seed),
          engines_(static_cast<std::size_t>(options.engines))
    {
        // One source for each workspace: the others' load is the same with
        // and without the first.
        for (int i = 0; i < options.workspaces; ++i)
        {
            const auto offset = static_cast<std::uint64_t>(i + 1) * 1000;
            loads_.emplace_back(options.seed + offset);
        }
    }

    model_report run()
    {
        for (int i = 0; i < options_.workspaces; ++i)
        {
            schedule_arrival(i);
        }
        if (options_.capacity_known)
        {
            const auto engines = static_cast<std::size_t>(options_.engines);
            obey(core_.handle(
                capacity_changed{engines * options_.slots}, random_, mono()));
        }
        at(0.1, [this] { on_tick(); });
        while (!agenda_.empty() && now_ < options_.run_seconds)
        {
            const auto next = agenda_.top();
            agenda_.pop();
            now_ = next.when;
            next.what();
        }
        report_.final_limit = core_.limit().value();
        return report_;
    }

private:
    struct entry
    {
        double when;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const entry& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct job
    {
        int workspace = 0;
        double arrived = 0;
        double dispatched = 0;
        double prompt = 0;
        double answer = 0;
        bool low_priority = false;
    };
    /// Hands out those of low priority last.
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
            auto& from = high.empty() ? low : high;
            request_id id = from.front();
            from.pop_front();
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

    void at(double when, std::function<void()> what)
    {
        agenda_.push({when, ++order_, std::move(what)});
    }
    [[nodiscard]] static duration seconds(double value)
    {
        return duration(std::llround(value * 1e6));
    }
    [[nodiscard]] random_source& load_of(int workspace)
    {
        return loads_[static_cast<std::size_t>(workspace)];
    }
    [[nodiscard]] mono_time mono() const { return mono_time(seconds(now_)); }

    void schedule_arrival(int workspace)
    {
        const double rate =
            workspace == 0 ? options_.noisy_rate : options_.rate;
        if (rate > 0)
        {
            const double gap = -std::log(1 - load_of(workspace).unit()) / rate;
            at(now_ + gap, [this, workspace] { on_arrival(workspace); });
        }
    }

    void on_arrival(int workspace)
    {
        schedule_arrival(workspace);
        const request_id id("r" + std::to_string(++order_));
        job& made = jobs_[id];
        made.workspace = workspace;
        made.arrived = now_;
        made.prompt = 200 + 1200 * load_of(workspace).unit();
        made.answer = 50 + 100 * load_of(workspace).unit();
        if (counted())
        {
            ++(workspace == 0 ? report_.noisy_asked : report_.others_asked);
        }
        if (!options_.admission)
        {
            start(id);
            return;
        }
        const double cost = made.prompt + made.answer;
        obey(core_.handle(
            arrival{
                .request = id,
                .workspace = workspace_id("w" + std::to_string(workspace)),
                .deadline = mono() + seconds(options_.patience_seconds),
                .expected_first_token = idle_estimate(made),
                .cost = token_count(static_cast<std::uint64_t>(cost))},
            random_, mono()));
    }

    void on_tick()
    {
        obey(core_.handle(tick{}, random_, mono()));
        at(now_ + 0.1, [this] { on_tick(); });
    }

    void obey(const std::vector<command>& commands)
    {
        for (const command& one : commands)
        {
            std::visit(
                overloaded{
                    [&](const dispatch& go)
                    {
                        jobs_.at(go.request).low_priority =
                            go.over_share && options_.engine_priority;
                        start(go.request);
                    },
                    [&](const refuse& no) { on_refusal(no); }},
                one);
        }
    }

    void on_refusal(const refuse& no)
    {
        const job& over = jobs_.at(no.request);
        if (counted())
        {
            ++(over.workspace == 0 ? report_.noisy_refused
                                   : report_.others_refused)[no.code];
        }
        jobs_.erase(no.request);
    }

    void start(const request_id& id)
    {
        jobs_.at(id).dispatched = now_;
        const auto least = std::min_element(
            engines_.begin(), engines_.end(),
            [](const engine& a, const engine& b) {
                return a.running + a.waiting.size() <
                       b.running + b.waiting.size();
            });
        least->waiting.push(id, jobs_.at(id).low_priority);
        fill(*least);
    }

    void fill(engine& one)
    {
        while (one.running < options_.slots && one.waiting.size() > 0)
        {
            const request_id id = one.waiting.pop();
            ++one.running;
            one.prompts.push(id, jobs_.at(id).low_priority);
        }
        prefill(one);
    }

    void prefill(engine& one)
    {
        if (one.prefilling || one.prompts.size() == 0)
        {
            return;
        }
        const request_id id = one.prompts.pop();
        one.prefilling = true;
        const double took =
            jobs_.at(id).prompt / options_.prefill_tokens_per_second;
        at(now_ + took, [this, id, &one] { on_first(id, one); });
    }

    void on_first(const request_id& id, engine& one)
    {
        one.prefilling = false;
        prefill(one);
        const job& shown = jobs_.at(id);
        if (counted())
        {
            (shown.workspace == 0 ? report_.noisy_first_token
                                  : report_.others_first_token)
                .push_back(now_ - shown.arrived);
        }
        const double batch = static_cast<double>(one.running) /
                             static_cast<double>(options_.slots);
        const double step = options_.decode_step_seconds * (1 + 0.5 * batch);
        at(now_ + shown.answer * step, [this, id, &one] { on_end(id, one); });
        if (options_.admission)
        {
            obey(core_.handle(
                first_token{
                    id, seconds(now_ - shown.dispatched), idle_estimate(shown)},
                random_, mono()));
        }
    }

    void on_end(const request_id& id, engine& one)
    {
        --one.running;
        jobs_.erase(id);
        fill(one);
        if (options_.admission)
        {
            obey(core_.handle(finished{.request = id}, random_, mono()));
        }
    }

    [[nodiscard]] duration idle_estimate(const job& of) const
    {
        return seconds(of.prompt / options_.prefill_tokens_per_second);
    }
    [[nodiscard]] bool counted() const
    {
        return now_ >= options_.warm_up_seconds;
    }

    model_options options_;
    admission_core core_;
    random_source random_;
    std::vector<random_source> loads_;
    std::vector<engine> engines_;
    std::map<request_id, job> jobs_;
    std::priority_queue<entry> agenda_;
    std::uint64_t order_ = 0;
    double now_ = 0;
    model_report report_;
};

} // namespace wagtailseam::admission::test

#endif
