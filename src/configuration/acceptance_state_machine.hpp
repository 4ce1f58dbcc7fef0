// The operator's side of an acceptance: stores the bytes, then moves the head
// by compare-and-set on the number that the operator read. No I/O.
#ifndef WAGTAILSEAM_CONFIGURATION_ACCEPTANCE_STATE_MACHINE_HPP
#define WAGTAILSEAM_CONFIGURATION_ACCEPTANCE_STATE_MACHINE_HPP

#include "configuration/rows.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace wagtailseam::configuration
{

/// What an operator wants in force.
struct acceptance_request
{
    std::string bytes;
    /// The number in force when the operator read the difference; 0: none.
    config_number base_number;
    /// Unique for each acceptance.
    std::string nonce;
    std::string by;
    wall_time at;
    /// Set for a rollback.
    config_number restores;
};

struct acceptance_limits
{
    /// Tries of all steps together before the acceptance gives up.
    std::uint32_t max_attempts = 8;
    duration retry_delay = std::chrono::milliseconds(250);
};

namespace acceptance_event
{

/// Answer to put_object. An object is named by its digest, so a lost answer
/// needs no read-back: the same bytes are stored again.
struct object_put
{
    bool stored = false;
};

/// Answer to read_row.
struct row_read
{
    table_service::read_result answer;
};

/// Answer to write_rows.
struct rows_written
{
    table_service::transaction_result answer;
};

/// A wait has ended.
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

/// The configuration is accepted under this row's number.
struct accepted
{
    acceptance row;
};

/// Another operator's acceptance came first; nothing of this one is in force.
struct acceptance_conflict
{
    acceptance other;
};

/// config_invalid: the head cannot be read; platform_unavailable: not
/// accepted; platform_answer_lost: it may be accepted, or may yet be.
struct acceptance_failed
{
    error cause;
};

using acceptance_command = std::variant<
    put_object, read_row, write_rows, wait_for, accepted, acceptance_conflict,
    acceptance_failed>;

/// Runs one acceptance; each command is answered by one event, until
/// accepted, acceptance_conflict or acceptance_failed.
///
/// The head and the history row of the new number are written in one
/// transaction, after the object: whoever sees the head finds the bytes.
/// Whether a write with a lost answer took effect is read from the history
/// row, since the head may have moved on; the row's nonce tells whose it is.
class acceptance_state_machine
{
public:
    explicit acceptance_state_machine(
        acceptance_request request, acceptance_limits limits = {});

    /// Returns the first command.
    [[nodiscard]] acceptance_command start();

    /// Returns the next command.
    /// @pre the event answers the last command. Complexity: constant.
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
    /// Waits and repeats the step, or gives up when attempts are spent.
    acceptance_command retry();
    [[nodiscard]] acceptance new_row() const;

    acceptance_request request_;
    acceptance_limits limits_;
    digest object_digest_;
    step step_ = step::reading_head;
    /// The version of the head that has the number `request_.base_number`; the
    /// condition of every write, so that at most one of them takes effect.
    table_service::row_version head_version_;
    /// Whether a write may have taken effect without our knowing.
    bool outcome_unknown_ = false;
    std::uint32_t attempts_ = 0;
};

} // namespace wagtailseam::configuration

#endif
