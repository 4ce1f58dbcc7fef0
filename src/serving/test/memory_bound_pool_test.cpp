// A pool of engines whose memory, not their prefill rate, is the bound, loses a
// fifth of its engines or gets a burst.
//
// The load that does not end by itself: an engine whose memory is exhausted
// preempts requests and runs their whole prefill again, and has no room for
// cached parts; prefill slows the generation of tokens, so requests stay
// longer, so more of them are in memory at the same time.
#include "serving/load_balancer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id service{"llm"};
constexpr duration tick = milliseconds(5);
constexpr duration latency_target = milliseconds(400);

/// Tokens of one request.
constexpr double shared_tokens = 9000;
constexpr double own_tokens = 3000;
constexpr double output_tokens = 380;
constexpr double prompt_tokens = shared_tokens + own_tokens;

struct simulated_request
{
    mono_time arrived;
    /// Tokens of the prompt that are not read yet.
    double unread = own_tokens;
    double generated = 0;
    bool first_token_seen = false;
};

class simulated_engine
{
public:
    static constexpr double memory_tokens = 174'000;
    /// Memory in which most of the prompts' shared parts are cached.
    static constexpr double cache_tokens = 60'000;

    void add(const simulated_request& request) { queue_.push_back(request); }

    /// @return the arrivals of the requests that got their first token
    std::vector<mono_time> run_tick()
    {
        admit();
        std::vector<mono_time> first_tokens;
        double read_budget = 600;
        const bool is_reading = std::any_of(
            running_.begin(), running_.end(),
            [](const auto& request) { return request.unread > 0; });
        const double generated = is_reading ? 0.3 : 0.9;
        for (auto& request : running_)
        {
            if (request.unread > 0)
            {
                const double read = std::min(read_budget, request.unread);
                request.unread -= read;
                read_budget -= read;
                continue;
            }
            if (!std::exchange(request.first_token_seen, true))
            {
                first_tokens.push_back(request.arrived);
            }
            request.generated += generated;
        }
        std::erase_if(
            running_, [](const auto& request)
            { return request.generated >= output_tokens; });
        preempt();
        return first_tokens;
    }

    [[nodiscard]] engine_load load(bool reports_memory) const
    {
        engine_load load{
            .prompts_waiting = static_cast<std::uint32_t>(queue_.size()),
            .running = static_cast<std::uint32_t>(running_.size())};
        if (reports_memory)
        {
            load.memory = {
                token_count{static_cast<std::uint64_t>(used_memory())},
                token_count{static_cast<std::uint64_t>(memory_tokens)}};
        }
        return load;
    }

private:
    [[nodiscard]] double used_memory() const
    {
        double used = 0;
        for (const auto& request : running_)
        {
            used += prompt_tokens + request.generated;
        }
        return used;
    }

    void admit()
    {
        while (!queue_.empty() &&
               used_memory() + prompt_tokens <= memory_tokens)
        {
            // Cached parts get the memory that running requests leave.
            const double free = memory_tokens - used_memory();
            auto& next = queue_.front();
            next.unread +=
                shared_tokens * (1 - std::min(1.0, free / cache_tokens));
            running_.push_back(next);
            queue_.pop_front();
        }
    }

    void preempt()
    {
        while (used_memory() > memory_tokens)
        {
            auto newest = running_.back();
            running_.pop_back();
            newest.unread = prompt_tokens + newest.generated;
            queue_.push_front(newest);
        }
    }

    std::deque<simulated_request> queue_;
    std::vector<simulated_request> running_;
};

struct pool_scenario
{
    bool reports_memory = true;
    std::size_t lost_engines = 0;
    /// Factor on the rate of arrivals for four seconds.
    double burst = 1;
};

class simulated_pool
{
public:
    explicit simulated_pool(const pool_scenario& scenario) : scenario_(scenario)
    {
        for (std::size_t index = 0; index < engine_count; ++index)
        {
            list(index, false);
        }
    }

    /// Returns the share of the requests after the disturbance that got their
    /// first token within the latency target.
    double share_in_time()
    {
        for (; now_ < end; now_ += tick)
        {
            for (std::size_t lost = 0;
                 now_ == disturbed && lost < scenario_.lost_engines; ++lost)
            {
                list(lost * 4, true);
            }
            send_arrivals();
            run_engines();
            deliver_reports();
        }
        return static_cast<double>(in_time_) / arrived_;
    }

private:
    static constexpr std::size_t engine_count = 18;
    static constexpr double arrivals_per_second = 68;
    static constexpr duration report_interval = milliseconds(100);
    static constexpr duration report_age = milliseconds(200);
    static constexpr mono_time start{seconds(100)};
    static constexpr mono_time disturbed = start + seconds(9);
    static constexpr mono_time measured_from = start + seconds(16);
    static constexpr mono_time end = start + seconds(34);

    struct report
    {
        mono_time due;
        std::size_t engine = 0;
        engine_load load;
    };

    [[nodiscard]] static upstream_id id(std::size_t index)
    {
        return upstream_id{std::to_string(index)};
    }

    void list(std::size_t index, bool draining)
    {
        balancer_.upsert(
            {.id = id(index),
             .service = service,
             .address = http::address{"10.0.0." + std::to_string(index)},
             .draining = draining});
    }

    void send_arrivals()
    {
        const bool in_burst =
            now_ >= disturbed && now_ < disturbed + seconds(4);
        due_arrivals_ += arrivals_per_second *
                         std::chrono::duration<double>(tick).count() *
                         (in_burst ? scenario_.burst : 1.0) *
                         static_cast<double>(random_.below(2001)) / 1000.0;
        for (; due_arrivals_ >= 1; --due_arrivals_)
        {
            arrived_ += now_ >= measured_from ? 1 : 0;
            send_request();
        }
    }

    void send_request()
    {
        const auto selection = balancer_.choose(
            {.service = service,
             .max_wait = latency_target,
             .tokens = token_count{static_cast<std::uint64_t>(
                 prompt_tokens + output_tokens)}},
            random_, now_);
        const auto* const chosen = std::get_if<chosen_upstream>(&selection);
        if (chosen == nullptr)
        {
            return;
        }
        const prompt_load load{
            .tokens = token_count{static_cast<std::uint64_t>(prompt_tokens)}};
        balancer_.begin_attempt(chosen->entry.id, load);
        balancer_.finish_prefill(chosen->entry.id, load, now_);
        engines_[std::stoul(chosen->entry.id.value())].add({.arrived = now_});
    }

    void run_engines()
    {
        const bool reports_now =
            (now_ - start).count() % report_interval.count() == 0;
        for (std::size_t index = 0; index < engine_count; ++index)
        {
            for (const auto& arrived : engines_[index].run_tick())
            {
                const bool is_in_time = arrived >= measured_from &&
                                        now_ - arrived <= latency_target;
                in_time_ += is_in_time ? 1 : 0;
            }
            if (reports_now)
            {
                reports_.push_back(
                    {now_ + report_age, index,
                     engines_[index].load(scenario_.reports_memory)});
            }
        }
    }

    void deliver_reports()
    {
        for (; !reports_.empty() && reports_.front().due <= now_;
             reports_.pop_front())
        {
            balancer_.update_load(
                id(reports_.front().engine), reports_.front().load, now_);
        }
    }

    pool_scenario scenario_;
    load_balancer balancer_;
    random_source random_{11};
    std::vector<simulated_engine> engines_{engine_count};
    std::deque<report> reports_;
    mono_time now_ = start;
    double due_arrivals_ = 0;
    int arrived_ = 0;
    int in_time_ = 0;
};

double share_in_time(const pool_scenario& scenario)
{
    return simulated_pool(scenario).share_in_time();
}

TEST(memory_bound_pool, calm_load_is_served_in_time)
{
    EXPECT_GT(share_in_time({}), 0.95);
}

TEST(memory_bound_pool, recovers_after_the_loss_of_a_fifth_of_its_engines)
{
    EXPECT_GT(share_in_time({.lost_engines = 4}), 0.9);
}

TEST(memory_bound_pool, recovers_after_a_burst)
{
    EXPECT_GT(share_in_time({.burst = 1.7}), 0.9);
}

// Shows that the load above is the one that does not end by itself.
TEST(memory_bound_pool, does_not_recover_if_memory_is_not_considered)
{
    EXPECT_LT(share_in_time({.reports_memory = false, .lost_engines = 4}), 0.7);
}

} // namespace
} // namespace wagtailseam::serving
