// Pairs the begin and the end of an attempt.
#include "gateway/open_attempt.hpp"

#include "telemetry/event_log.hpp"

#include <boost/assert.hpp>

#include <exception>
#include <utility>

namespace wagtailseam::gateway
{

open_attempt::open_attempt(
    shared_state& state, upstream_id upstream, serving::prompt_load load)
    : state_(state), lifetime_(state.lifetime), upstream_(std::move(upstream)),
      load_(load)
{
    state_.upstreams.begin_attempt(upstream_, load_);
}

open_attempt::~open_attempt()
{
    if (has_ended_ || lifetime_.expired())
    {
        return;
    }
    try
    {
        end(serving::abandoned{}, monotonic_clock::now());
        state_.metrics.count("wagtail_attempts_total", "end", "left_open");
        telemetry::event("attempt_left_open").with("upstream", upstream_);
    }
    catch (const std::exception&)
    {
        // The upstream's counts are changed before anything can throw.
        return;
    }
}

void open_attempt::finish_prefill(mono_time now)
{
    if (!std::exchange(is_prefill_pending_, false))
    {
        return;
    }
    state_.upstreams.finish_prefill(upstream_, load_, now);
    state_.on_pending_prefill_changed(upstream_);
}

void open_attempt::end(const serving::attempt_result& result, mono_time now)
{
    BOOST_ASSERT(!has_ended_);
    has_ended_ = true;
    state_.upstreams.end_attempt(upstream_, result, now);
    finish_prefill(now);
}

} // namespace wagtailseam::gateway
