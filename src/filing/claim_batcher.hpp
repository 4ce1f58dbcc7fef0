// Group commit: the filing writes of one entry share transactions of the
// platform's table, which bounds how many a second it takes.
#ifndef WAGTAILSEAM_FILING_CLAIM_BATCHER_HPP
#define WAGTAILSEAM_FILING_CLAIM_BATCHER_HPP

#include "core/clock.hpp"
#include "table_service/table.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace wagtailseam::filing
{

struct claim_batcher_options
{
    /// How long an urgent write waits for company.
    duration urgent_window = std::chrono::milliseconds(3);
    /// How long a write waits that no caller waits for.
    duration lazy_window = std::chrono::milliseconds(100);
    std::size_t max_writes = 64;
    /// Bounds the writes that wait; those beyond it are refused.
    std::size_t max_waiting = 10'000;
};

/// Names a write from write_wanted to write_answered.
using write_ticket = strong_id<struct write_ticket_tag, std::uint64_t>;
using transaction_number =
    strong_id<struct transaction_number_tag, std::uint64_t>;

struct write_wanted
{
    write_ticket ticket;
    table_service::row_write write;
    /// Whether a caller waits for it.
    bool urgent = true;
};

struct transaction_answered
{
    transaction_number number;
    table_service::transaction_result answer;
};

struct batch_timer_due
{
};

using batcher_event =
    std::variant<write_wanted, transaction_answered, batch_timer_due>;

struct send_transaction
{
    transaction_number number;
    table_service::transaction transaction;
};

/// The answer to one write, as if it had been sent alone.
struct write_answered
{
    write_ticket ticket;
    table_service::transaction_result answer;
};

/// Send batch_timer_due at this time; replaces the time set before.
struct set_batch_timer
{
    mono_time at;
};

using batcher_command =
    std::variant<send_transaction, write_answered, set_batch_timer>;

/// Collects writes and shares out the answers. A write whose condition fails
/// does not fail the others: they are sent again without it.
class claim_batcher
{
public:
    explicit claim_batcher(const claim_batcher_options& options);

    /// Complexity: linear in the writes that wait.
    [[nodiscard]] std::vector<batcher_command> handle(
        const batcher_event& event, mono_time now);

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

private:
    struct waiting_write
    {
        write_ticket ticket;
        table_service::row_write write;
        mono_time due;
    };
    using batch = std::vector<waiting_write>;

    std::vector<batcher_command> on(const write_wanted& event, mono_time now);
    std::vector<batcher_command> on(
        const transaction_answered& event, mono_time now);
    std::vector<batcher_command> on(
        const batch_timer_due& event, mono_time now);

    [[nodiscard]] std::optional<mono_time> first_due() const;
    void send_due(std::vector<batcher_command>& commands, mono_time now);
    void send(std::vector<batcher_command>& commands, batch writes);
    [[nodiscard]] batch take_batch();
    void share_answer(
        std::vector<batcher_command>& commands, batch writes,
        const table_service::transaction_result& answer);

    claim_batcher_options options_;
    /// In the order of arrival; at most max_waiting.
    std::deque<waiting_write> waiting_;
    /// No transaction holds two writes of one row: their conditions would be
    /// checked against the same state, and both would take effect.
    std::map<transaction_number, batch> in_flight_;
    std::uint64_t last_number_ = 0;
};

} // namespace wagtailseam::filing

#endif
