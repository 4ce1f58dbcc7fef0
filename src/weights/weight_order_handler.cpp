// Admission of orders by fencing number, and the version check of dispatches.
#include "weights/weight_order_handler.hpp"

#include <algorithm>

namespace wagtailseam::weights
{

std::vector<order_handler_command> weight_order_handler::handle(
    const order_handler_event& event)
{
    commands_.clear();
    std::visit([this](const auto& kind) { on(kind); }, event);
    const bool failed = std::holds_alternative<fencing_read_failed>(event);
    if (!minimum_known_ && !read_pending_ && !failed)
    {
        read_pending_ = true;
        commands_.emplace_back(read_fencing{});
    }
    return std::move(commands_);
}

result_code weight_order_handler::check_dispatch(
    const model_id& model, weight_version planned) const
{
    // While a load is in progress, the time of the switch is unknown.
    const bool matches = setup_ && !loading() && setup_->model == model &&
                         setup_->version == planned;
    return matches ? result_code::ok : result_code::weight_version_mismatch;
}

void weight_order_handler::on(const fencing_read& event)
{
    read_pending_ = false;
    minimum_known_ = true;
    highest_number_ =
        std::max(highest_number_, order_number{.fencing = event.minimum});
}

void weight_order_handler::on(const fencing_read_failed& /*event*/)
{
    // The next event requests the row again.
    read_pending_ = false;
}

result_code weight_order_handler::admit(const order_number& number)
{
    if (!minimum_known_)
    {
        return result_code::not_ready;
    }
    if (number.fencing < highest_number_.fencing)
    {
        return result_code::stale_fencing_number;
    }
    if (number <= highest_number_)
    {
        return result_code::tombstoned;
    }
    highest_number_ = number;
    return result_code::ok;
}

void weight_order_handler::on(const order_received& event)
{
    if (last_completed_ == event.order)
    {
        commands_.emplace_back(order_completed{event.call, result_code::ok});
        return;
    }
    result_code code = admit(event.order.number);
    if (code == result_code::ok && event.order.target != incarnation_)
    {
        code = result_code::stale_incarnation;
    }
    if (code == result_code::ok && (loading() || !setup_))
    {
        code = result_code::upstream_busy;
    }
    if (code != result_code::ok)
    {
        commands_.emplace_back(order_completed{event.call, code});
        return;
    }
    active_order_ = active_order{event.call, ++last_request_id_, event.order};
    commands_.emplace_back(send_order{last_request_id_, event.order});
}

void weight_order_handler::on(const status_requested& event)
{
    result_code code = admit(event.number);
    if (code == result_code::ok && !setup_)
    {
        // It is not known yet whether the engine is loading.
        code = result_code::not_ready;
    }
    commands_.emplace_back(
        status_answered{event.call, code, loading(), setup_, incarnation_});
}

void weight_order_handler::on(const engine_answered& event)
{
    if (!active_order_ || active_order_->request_id != event.request_id)
    {
        return;
    }
    const active_order completed = *active_order_;
    active_order_.reset();
    if (event.code == result_code::ok)
    {
        last_completed_ = completed.order;
        apply_setup(completed.order.setup);
    }
    commands_.emplace_back(order_completed{completed.call, event.code});
}

void weight_order_handler::on(const engine_reported& event)
{
    inherited_load_ = event.loading && !active_order_;
    apply_setup(event.setup);
}

void weight_order_handler::apply_setup(const engine_setup& setup)
{
    const bool changed = !setup_ || setup_->version != setup.version ||
                         setup_->model != setup.model;
    setup_ = setup;
    if (changed)
    {
        commands_.emplace_back(version_changed{setup.version});
    }
}

} // namespace wagtailseam::weights
