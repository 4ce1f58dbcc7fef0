// Accepts a configuration on behalf of an operator: stores its bytes, then
// updates the head row by compare-and-set on its version. No I/O.
#ifndef WAGTAILSEAM_CONFIGURATION_ACCEPTANCE_STATE_MACHINE_HPP
#define WAGTAILSEAM_CONFIGURATION_ACCEPTANCE_STATE_MACHINE_HPP

#include "configuration/rows.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace wagtailseam::configuration
{

/// The configuration that an operator asks to activate.
struct acceptance_request
{
    /// Canonical bytes of the configuration document.
    std::string bytes;
    /// Active number when the operator reviewed the changes; 0 when no
    /// configuration was accepted.
    config_number base_number;
    /// Unique to this acceptance.
    std::string nonce;
    /// Name of the operator.
    std::string by;
    wall_time at;
    /// The number that a rollback restores; 0 otherwise.
    config_number restores;
};

struct acceptance_limits
{
    /// Failed operations, over all steps, after which the acceptance fails.
    std::uint32_t max_attempts = 8;
    duration retry_delay = std::chrono::milliseconds(250);
};

namespace acceptance_event
{

/// Result of put_object. An object is named by its digest, so after a lost
/// response the same bytes can safely be stored again.
struct object_put
{
    bool stored = false;
};

/// Result of read_row.
struct row_read
{
    table_service::read_result answer;
};

/// Result of write_rows.
struct rows_written
{
    table_service::transaction_result answer;
};

/// The delay of wait_for has elapsed.
struct wait_ended
{
};

} // namespace acceptance_event

using acceptance_input = std::variant<
    acceptance_event::object_put, acceptance_event::row_read,
    acceptance_event::rows_written, acceptance_event::wait_ended>;

struct put_object
{
    std::string name;
    std::string bytes;
};

struct read_row
{
    table_service::row_key key;
};

struct write_rows
{
    table_service::transaction transaction;
};

struct wait_for
{
    duration delay{};
};

/// Final: the configuration was accepted under the number of this row.
struct accepted
{
    acceptance row;
};

/// Final: another acceptance took the number first, and this one has no effect.
struct acceptance_conflict
{
    acceptance other;
};

/// Final: the acceptance failed.
/// @errors malformed_message: a row cannot be decoded; config_not_found: the
/// operator read a number, but no head row exists; platform_unavailable: the
/// configuration was not accepted; platform_answer_lost: a write may have
/// taken effect or may still do so.
struct acceptance_failed
{
    error cause;
};

using acceptance_command = std::variant<
    put_object, read_row, write_rows, wait_for, accepted, acceptance_conflict,
    acceptance_failed>;

/// State machine of one acceptance. The caller answers each command with one
/// event until it gets accepted, acceptance_conflict or acceptance_failed.
///
/// One transaction writes the head row and the history row of the new number
/// after the object is stored, so every reader of the head finds the bytes.
/// After a lost response the history row tells whether the write took effect,
/// since later acceptances may have changed the head; the nonce in the row
/// identifies the acceptance that wrote it.
class acceptance_state_machine
{
public:
    explicit acceptance_state_machine(
        acceptance_request request, acceptance_limits limits = {});

    /// Returns the first command.
    [[nodiscard]] acceptance_command start();

    /// Returns the next command.
    /// @pre event is the result of the last command. Complexity: constant.
    [[nodiscard]] acceptance_command handle(const acceptance_input& event);

private:
    enum class step : std::uint8_t
    {
        reading_head,
        storing_object,
        writing,
        reading_history_row,
    };

    acceptance_command on(const acceptance_event::object_put& event);
    acceptance_command on(const acceptance_event::row_read& event);
    acceptance_command on(const acceptance_event::rows_written& event);
    acceptance_command on(const acceptance_event::wait_ended& event);

    acceptance_command handle_head(const table_service::optional_row& head);
    acceptance_command handle_history_row(
        const table_service::optional_row& history);
    [[nodiscard]] acceptance_command command_for_step() const;
    /// Repeats the step after a delay, or fails after max_attempts.
    acceptance_command retry();
    [[nodiscard]] acceptance new_row() const;

    acceptance_request request_;
    acceptance_limits limits_;
    digest object_digest_;
    step step_ = step::reading_head;
    /// Version of the head row with the number `request_.base_number`. Every
    /// write is conditional on it, so at most one of them takes effect.
    table_service::row_version head_version_;
    /// Whether the response to a write was lost, so it may have taken effect.
    bool outcome_unknown_ = false;
    std::uint32_t attempts_ = 0;
};

} // namespace wagtailseam::configuration

#endif
