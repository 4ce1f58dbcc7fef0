// Transitions of the acceptance state machine.
#include "configuration/acceptance_state_machine.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::configuration
{

acceptance_state_machine::acceptance_state_machine(
    acceptance_request request, acceptance_limits limits)
    : request_(std::move(request)), limits_(limits),
      object_digest_(sha256(request_.bytes))
{
    BOOST_ASSERT(!request_.nonce.empty());
}

acceptance_command acceptance_state_machine::start()
{
    return command_for_step();
}

acceptance_command acceptance_state_machine::handle(
    const acceptance_input& event)
{
    return std::visit(
        [this](const auto& alternative) { return on(alternative); }, event);
}

acceptance_command acceptance_state_machine::on(
    const acceptance_event::object_put& event)
{
    BOOST_ASSERT(step_ == step::storing_object);
    if (!event.stored)
    {
        return retry();
    }
    step_ = step::writing;
    return command_for_step();
}

acceptance_command acceptance_state_machine::on(
    const acceptance_event::row_read& event)
{
    const auto* const found =
        std::get_if<table_service::optional_row>(&event.answer);
    if (found == nullptr)
    {
        return retry();
    }
    return step_ == step::reading_head ? handle_head(*found)
                                       : handle_history_row(*found);
}

acceptance_command acceptance_state_machine::on(
    const acceptance_event::rows_written& event)
{
    BOOST_ASSERT(step_ == step::writing);
    return std::visit(
        overloaded{
            [this](const table_service::committed&) -> acceptance_command
            { return accepted{new_row()}; },
            // Another operator changed the head, or an earlier write of this
            // acceptance did and its response was lost.
            [this](const table_service::conflicted&) -> acceptance_command
            {
                step_ = step::reading_history_row;
                return command_for_step();
            },
            [this](const table_service::rejected&) { return retry(); },
            [this](const table_service::outcome_unknown&) -> acceptance_command
            {
                outcome_unknown_ = true;
                step_ = step::reading_history_row;
                return command_for_step();
            }},
        event.answer);
}

acceptance_command acceptance_state_machine::on(
    const acceptance_event::wait_ended& /*event*/)
{
    return command_for_step();
}

acceptance_command acceptance_state_machine::handle_head(
    const table_service::optional_row& head)
{
    head_version_ = head ? head->version : table_service::absent_row_version;
    if (head)
    {
        const auto current = decode_acceptance(head->value);
        if (!current)
        {
            return acceptance_failed{current.error()};
        }
        if (current.value().number != request_.base_number)
        {
            return acceptance_conflict{current.value()};
        }
    }
    else if (request_.base_number != config_number{})
    {
        return acceptance_failed{error{
            result_code::config_not_found,
            "the request is based on number " +
                std::to_string(request_.base_number.value()) +
                ", but no configuration was accepted"}};
    }
    step_ = step::storing_object;
    return command_for_step();
}

acceptance_command acceptance_state_machine::handle_history_row(
    const table_service::optional_row& history)
{
    if (!history)
    {
        // The write has not taken effect, but may be delayed. Repeating it is
        // safe: only one write can match the version of the head row.
        step_ = step::writing;
        return retry();
    }
    const auto current = decode_acceptance(history->value);
    if (!current)
    {
        return acceptance_failed{current.error()};
    }
    if (current.value().nonce == request_.nonce)
    {
        return accepted{current.value()};
    }
    return acceptance_conflict{current.value()};
}

acceptance_command acceptance_state_machine::command_for_step() const
{
    const config_number next{request_.base_number.value() + 1};
    switch (step_)
    {
    case step::reading_head:
        return read_row{head_row()};
    case step::storing_object:
        return put_object{object_name(object_digest_), request_.bytes};
    case step::writing:
        return write_rows{
            {{{head_row(), head_version_, encode(new_row())},
              {history_row(next), table_service::absent_row_version,
               encode(new_row())}}}};
    case step::reading_history_row:
        return read_row{history_row(next)};
    }
    return acceptance_failed{};
}

acceptance_command acceptance_state_machine::retry()
{
    ++attempts_;
    if (attempts_ < limits_.max_attempts)
    {
        return wait_for{limits_.retry_delay};
    }
    if (outcome_unknown_)
    {
        return acceptance_failed{error{
            result_code::platform_answer_lost,
            "the configuration may have been accepted; search for nonce " +
                request_.nonce + " in the history"}};
    }
    return acceptance_failed{error{
        result_code::platform_unavailable,
        "the configuration was not accepted"}};
}

acceptance acceptance_state_machine::new_row() const
{
    return {
        .number = config_number{request_.base_number.value() + 1},
        .object = object_digest_,
        .nonce = request_.nonce,
        .by = request_.by,
        .at = request_.at,
        .restores = request_.restores};
}

} // namespace wagtailseam::configuration
