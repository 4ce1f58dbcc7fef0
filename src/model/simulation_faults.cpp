// Runs one workload in virtual time: faults, weight swaps and what is measured.
#include "model/simulation.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::model
{

namespace
{

using link::seconds_to_duration;

constexpr std::size_t loads_at_once = 2;
constexpr double drain_seconds = 120.0;
// A broken connection is noticed and its prompts are sent elsewhere.
constexpr duration loss_noticed = std::chrono::milliseconds(50);

} // namespace

run_row simulation::run()
{
    post_arrivals();
    post_load_reports();
    post_fault();
    post_use_samples();
    const auto& load = from_.workload;
    events_.run_until(mono_time(
        seconds_to_duration(load.warm_up_s + load.measured_s + drain_seconds)));
    return measured();
}

void simulation::post_use_samples()
{
    const auto& load = from_.workload;
    const std::array<double, 2> times{
        load.warm_up_s, load.warm_up_s + load.measured_s};
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        events_.at(
            mono_time(seconds_to_duration(times[i])),
            [this, i]
            {
                for (const auto& one : runners_)
                {
                    prefill_time_[i] += one->exact().prefill_time();
                }
            });
    }
}

void simulation::post_fault()
{
    const auto& load = from_.workload;
    fault_at_ =
        mono_time(seconds_to_duration(load.warm_up_s + load.measured_s / 3));
    const auto at = [this](duration later, event_queue::action run)
    { events_.at(fault_at_ + later, std::move(run)); };
    switch (options_.broken)
    {
    case fault::none:
        return;
    case fault::store_lost:
        at({}, [this] { break_store(); });
        return;
    case fault::link_slow:
        at({}, [this] { slow_links(); });
        return;
    case fault::event_gaps:
        at({}, [this] { lose_events(0.5); });
        at(std::chrono::seconds(60), [this] { lose_events(from_.event_loss); });
        return;
    case fault::runner_lost:
        at({}, [this] { lose_runner(); });
        return;
    case fault::version_swap:
        at({},
           [this]
           {
               for (std::size_t i = 0; i < runners_.size(); ++i)
               {
                   to_swap_.push_back(i);
               }
               for (std::size_t i = 0; i < loads_at_once; ++i)
               {
                   swap_next();
               }
           });
        return;
    }
}

void simulation::break_store()
{
    stores_.front()->lose();
    for (auto& entry : entries_)
    {
        [[maybe_unused]] const auto none = entry->handle(
            routing::store_left{stores_.front()->id()}, events_.now());
    }
}

void simulation::slow_links()
{
    constexpr double slowdown = 0.1;
    for (auto& one : stores_)
    {
        one->memory_link().slow_down(slowdown);
        one->disk_link().slow_down(slowdown);
    }
}

void simulation::lose_events(double share)
{
    for (auto& one : runners_)
    {
        one->set_event_loss(share);
    }
}

void simulation::lose_runner()
{
    const auto ids = runners_.front()->lose();
    events_.after(
        loss_noticed,
        [this, ids]
        {
            announce(0, false);
            retry(ids);
        });
}

void simulation::retry(const std::vector<request_id>& ids)
{
    for (const auto& id : ids)
    {
        const auto known = jobs_.find(id);
        if (known == jobs_.end())
        {
            continue;
        }
        give_up_from(known->second, 0);
        offer(id);
    }
}

void simulation::swap_next()
{
    if (to_swap_.empty())
    {
        return;
    }
    const auto next = to_swap_.front();
    to_swap_.pop_front();
    if (runner_versions_[next] == version_)
    {
        announce(next, false);
    }
    runners_[next]->reload(from_.weights_load, [this, next] { swapped(next); });
}

void simulation::swapped(std::size_t number)
{
    const weight_version next{2};
    runner_versions_[number] = next;
    ++swapped_;
    // New prompts take the new version once half of the runners have it.
    if (version_ != next && 2 * swapped_ >= runners_.size())
    {
        version_ = next;
        for (std::size_t i = 0; i < runners_.size(); ++i)
        {
            announce(i, runner_versions_[i] == next);
        }
    }
    else if (version_ == next)
    {
        announce(number, true);
    }
    swap_next();
}

link_use_share simulation::measured_link_use()
{
    const auto begin = static_cast<std::size_t>(from_.workload.warm_up_s);
    const auto end =
        begin + static_cast<std::size_t>(from_.workload.measured_s);
    link_use_share use;
    double sum = 0.0;
    for (auto& one : stores_)
    {
        for (const auto* line : {&one->memory_link(), &one->disk_link()})
        {
            const auto& seconds = line->use_by_second();
            for (auto i = begin; i < std::min(end, seconds.size()); ++i)
            {
                sum += seconds[i];
                use.peak = std::max(use.peak, seconds[i]);
            }
        }
    }
    use.mean = sum / static_cast<double>((end - begin) * stores_.size() * 2);
    return use;
}

run_row simulation::measured()
{
    run_row row{
        .profile = from_.name,
        .how = options_.how,
        .broken = options_.broken,
        .seed = options_.seed,
        .link_scale = options_.link_scale};
    const mono_time begin(seconds_to_duration(from_.workload.warm_up_s));
    const auto recovered = fault_at_ + std::chrono::seconds(10);
    std::vector<double> all;
    std::vector<double> later;
    std::vector<double> returning;
    double tokens = 0.0;
    double recomputed = 0.0;
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
    {
        const auto& one = arrivals_[i];
        if (one.when < begin)
        {
            continue;
        }
        ++row.prompts;
        if (ttft_ms_[i] < 0.0)
        {
            row.errors += 1;
            continue;
        }
        all.push_back(ttft_ms_[i]);
        if (one.returning)
        {
            returning.push_back(ttft_ms_[i]);
        }
        if (one.when >= recovered)
        {
            later.push_back(ttft_ms_[i]);
        }
        tokens += static_cast<double>(one.tokens.value());
        recomputed += static_cast<double>(recomputed_[i]);
    }
    row.errors -= std::min(row.errors, refused_);
    row.refused = refused_;
    row.ttft_p50_ms = quantile(all, 0.50);
    row.ttft_p95_ms = quantile(all, 0.95);
    row.ttft_p99_ms = quantile(all, 0.99);
    row.ttft_p95_returning_ms = quantile(std::move(returning), 0.95);
    row.ttft_p95_after_fault_ms = quantile(std::move(later), 0.95);
    row.recomputed_share = tokens > 0.0 ? recomputed / tokens : 0.0;
    row.link_use = measured_link_use();
    row.load_scale = options_.load_scale;
    row.prefill_use =
        link::duration_to_seconds(prefill_time_[1] - prefill_time_[0]) /
        (from_.workload.measured_s * static_cast<double>(runners_.size()));
    row.imports = imports_;
    row.imports_abandoned = imports_abandoned_;
    return row;
}

} // namespace wagtailseam::model
