// One filing between its caller, the table and the attempts that run it.
#ifndef WAGTAILSEAM_ENTRY_FILING_RUN_HPP
#define WAGTAILSEAM_ENTRY_FILING_RUN_HPP

#include "entry/attempt_run.hpp"
#include "entry/filing_desk.hpp"

#include <memory>
#include <optional>

namespace wagtailseam::entry
{

/// Carries out the commands of one filing core. Kept alive by its own
/// operations, which go on after the caller has its answer.
class filing_run : public std::enable_shared_from_this<filing_run>
{
public:
    /// @param asked the dispatch but for the attempt's fields
    filing_run(
        filing_desk& desk, peers& shared, filing::filing_request request,
        upstream_need need, messages::dispatch asked);
    ~filing_run();
    filing_run(const filing_run&) = delete;
    filing_run& operator=(const filing_run&) = delete;

    /// Runs until there is an answer for the caller.
    asio::awaitable<filing::answer_caller> answer();

private:
    void feed(const filing::filing_event& event);
    void obey(const filing::ask_plan& command);
    void obey(const filing::write_row& command);
    void obey(const filing::read_row& command);
    void obey(const filing::ask_sidecar& command);
    void obey(const filing::run_filing& command);
    void obey(const filing::answer_caller& command);
    void obey(const filing::set_filing_timer& command);
    void obey(const filing::count_note& command);
    void obey(const filing::filing_over& command);

    // Each holds its run until it ends.
    asio::awaitable<void> read(
        filing::read_row command, std::shared_ptr<filing_run> self);
    asio::awaitable<void> ask(
        filing::ask_sidecar command, std::shared_ptr<filing_run> self);
    asio::awaitable<void> run(
        filing::run_filing command, std::shared_ptr<filing_run> self);
    [[nodiscard]] filing::filing_event plan(const filing::ask_plan& wanted);

    filing_desk& desk_;
    peers& shared_;
    request_id id_;
    mono_time deadline_;
    filing::filing_core core_;
    upstream_need need_;
    messages::dispatch asked_;
    asio::steady_timer timer_;
    /// Never due: cancelled when the answer is there.
    asio::steady_timer answered_;
    std::optional<filing::answer_caller> answer_;
};

} // namespace wagtailseam::entry

#endif
