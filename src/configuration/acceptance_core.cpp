// Steps of an acceptance.
#include "configuration/acceptance_core.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::configuration
{

acceptance_core::acceptance_core(
    acceptance_request request, acceptance_limits limits)
    : request_(std::move(request)), limits_(limits),
      object_(sha256(request_.bytes))
{
    BOOST_ASSERT(!request_.nonce.empty());
}

acceptance_command acceptance_core::start()
{
    return command_of_step();
}

acceptance_command acceptance_core::handle(const acceptance_input& event)
{
    return std::visit([this](const auto& kind) { return on(kind); }, event);
}

acceptance_command acceptance_core::on(
    const acceptance_event::object_put& event)
{
    BOOST_ASSERT(step_ == step::storing_object);
    if (!event.stored)
    {
        return retry();
    }
    step_ = step::writing;
    return command_of_step();
}

acceptance_command acceptance_core::on(const acceptance_event::row_read& event)
{
    const auto* const found =
        std::get_if<table_service::optional_row>(&event.answer);
    if (found == nullptr)
    {
        return retry();
    }
    return step_ == step::reading_head ? head_read(*found) : read_back(*found);
}

acceptance_command acceptance_core::on(
    const acceptance_event::rows_written& event)
{
    BOOST_ASSERT(step_ == step::writing);
    return std::visit(
        overloaded{
            [this](const table_service::committed&) -> acceptance_command
            { return accepted{row()}; },
            // The head moved: by another operator, or by an earlier write of
            // this acceptance whose answer was lost.
            [this](const table_service::conflicted&) -> acceptance_command
            {
                step_ = step::reading_back;
                return command_of_step();
            },
            [this](const table_service::rejected&) { return retry(); },
            [this](const table_service::outcome_unknown&) -> acceptance_command
            {
                answer_lost_ = true;
                step_ = step::reading_back;
                return command_of_step();
            }},
        event.answer);
}

acceptance_command acceptance_core::on(
    const acceptance_event::waited& /*event*/)
{
    return command_of_step();
}

acceptance_command acceptance_core::head_read(
    const table_service::optional_row& head)
{
    head_version_ = head ? head->version : table_service::absent_row_version;
    if (head)
    {
        const auto current = decode_acceptance(head->value);
        if (!current)
        {
            return gave_up{current.error()};
        }
        if (current.value().number != request_.base)
        {
            return lost_race{current.value()};
        }
    }
    else if (request_.base != config_number{})
    {
        return gave_up{error{
            result_code::config_not_found,
            "no configuration is accepted, yet number " +
                std::to_string(request_.base.value()) + " was read"}};
    }
    step_ = step::storing_object;
    return command_of_step();
}

acceptance_command acceptance_core::read_back(
    const table_service::optional_row& history)
{
    if (!history)
    {
        // Not in effect, though a delayed write may yet be: repeating the
        // same write is safe, since only one can match the head's version.
        step_ = step::writing;
        return retry();
    }
    const auto current = decode_acceptance(history->value);
    if (!current)
    {
        return gave_up{current.error()};
    }
    if (current.value().nonce == request_.nonce)
    {
        return accepted{current.value()};
    }
    return lost_race{current.value()};
}

acceptance_command acceptance_core::command_of_step() const
{
    const config_number next{request_.base.value() + 1};
    switch (step_)
    {
    case step::reading_head:
        return read_row{head_row()};
    case step::storing_object:
        return put_object{object_name(object_), request_.bytes};
    case step::writing:
        return write_rows{
            {{{head_row(), head_version_, encode(row())},
              {history_row(next), table_service::absent_row_version,
               encode(row())}}}};
    case step::reading_back:
        return read_row{history_row(next)};
    }
    return gave_up{};
}

acceptance_command acceptance_core::retry()
{
    ++attempts_;
    if (attempts_ < limits_.attempts)
    {
        return wait_for{limits_.retry_delay};
    }
    if (answer_lost_)
    {
        return gave_up{error{
            result_code::platform_answer_lost,
            "the configuration may be accepted; look for nonce " +
                request_.nonce + " in the history"}};
    }
    return gave_up{
        error{result_code::platform_unavailable, "nothing was accepted"}};
}

acceptance acceptance_core::row() const
{
    return {
        .number = config_number{request_.base.value() + 1},
        .object = object_,
        .nonce = request_.nonce,
        .by = request_.by,
        .at = request_.at,
        .restores = request_.restores};
}

} // namespace wagtailseam::configuration
