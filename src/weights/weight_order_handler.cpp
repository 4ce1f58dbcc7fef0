// Fencing floor, one order at a time, and the version check of dispatches.
#include "weights/weight_order_handler.hpp"

#include <algorithm>

namespace wagtailseam::weights
{

std::vector<order_handler_command> weight_order_handler::handle(
    const order_handler_event& what)
{
    out_.clear();
    std::visit([this](const auto& event) { on(event); }, what);
    const bool failed = std::holds_alternative<fencing_read_failed>(what);
    if (!floor_known_ && !reading_ && !failed)
    {
        reading_ = true;
        out_.emplace_back(read_fencing{});
    }
    return std::move(out_);
}

result_code weight_order_handler::check_dispatch(
    const model_id& model, weight_version planned) const
{
    // While an order is under way, the moment of the swap is not known.
    const bool matches = setup_ && !loading() && setup_->model == model &&
                         setup_->version == planned;
    return matches ? result_code::ok : result_code::weight_version_mismatch;
}

void weight_order_handler::on(const fencing_read& read)
{
    reading_ = false;
    floor_known_ = true;
    floor_ = std::max(floor_, order_number{.fencing = read.floor});
}

void weight_order_handler::on(const fencing_read_failed& /*failed*/)
{
    // The next event reads again.
    reading_ = false;
}

result_code weight_order_handler::admit(const order_number& number)
{
    if (!floor_known_)
    {
        return result_code::not_ready;
    }
    if (number.fencing < floor_.fencing)
    {
        return result_code::stale_fencing_number;
    }
    if (number <= floor_)
    {
        return result_code::tombstoned;
    }
    floor_ = number;
    return result_code::ok;
}

void weight_order_handler::on(const order_received& arrived)
{
    if (last_done_ == arrived.order)
    {
        out_.emplace_back(order_completed{arrived.call, result_code::ok});
        return;
    }
    result_code code = admit(arrived.order.number);
    if (code == result_code::ok && arrived.order.target != life_)
    {
        code = result_code::stale_incarnation;
    }
    if (code == result_code::ok && (loading() || !setup_))
    {
        code = result_code::upstream_busy;
    }
    if (code != result_code::ok)
    {
        out_.emplace_back(order_completed{arrived.call, code});
        return;
    }
    under_way_ = running_order{arrived.call, ++last_sent_, arrived.order};
    out_.emplace_back(send_order{last_sent_, arrived.order});
}

void weight_order_handler::on(const status_requested& asked)
{
    result_code code = admit(asked.number);
    if (code == result_code::ok && !setup_)
    {
        // Whether the engine is loading is not known yet.
        code = result_code::not_ready;
    }
    out_.emplace_back(
        status_answered{asked.call, code, loading(), setup_, life_});
}

void weight_order_handler::on(const engine_answered& answered)
{
    if (!under_way_ || under_way_->sent != answered.sent)
    {
        return;
    }
    const running_order done = *under_way_;
    under_way_.reset();
    if (answered.code == result_code::ok)
    {
        last_done_ = done.order;
        take_setup(done.order.setup);
    }
    out_.emplace_back(order_completed{done.call, answered.code});
}

void weight_order_handler::on(const engine_reported& reported)
{
    inherited_load_ = reported.loading && !under_way_;
    take_setup(reported.setup);
}

void weight_order_handler::take_setup(const engine_setup& setup)
{
    const bool changed = !setup_ || setup_->version != setup.version ||
                         setup_->model != setup.model;
    setup_ = setup;
    if (changed)
    {
        out_.emplace_back(version_changed{setup.version});
    }
}

} // namespace wagtailseam::weights
