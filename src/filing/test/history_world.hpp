// A small world in virtual time: entries, sidecars, upstreams and the table,
// with the faults that a history names. It counts what the upstreams ran apart
// from the decision cores, and lists each promise that was broken.
#ifndef WAGTAILSEAM_FILING_TEST_HISTORY_WORLD_HPP
#define WAGTAILSEAM_FILING_TEST_HISTORY_WORLD_HPP

#include "attempt/attempt_state_machine.hpp"
#include "attempt/dispatch_admission.hpp"
#include "filing/claim_batcher.hpp"
#include "filing/filing_core.hpp"
#include "table_service/memory_table.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace wagtailseam::filing::test
{

enum class action_kind : std::uint8_t
{
    call,
    crash_entry,
    crash_sidecar,
    crash_upstream,
    pause_entry,
    pause_sidecar,
    drain_sidecar,
    table_fault,
    network_fault,
};

enum class table_fault : std::uint8_t
{
    none,
    answers_lost,
    requests_lost,
    refused,
    late,
    duplicated,
    reads_fail,
    slow,
};

enum class network_fault : std::uint8_t
{
    none,
    requests_lost,
    replies_lost,
    late,
    duplicated,
    crossed,
};

/// One step of a history.
struct action
{
    action_kind kind = action_kind::call;
    std::uint32_t at_ms = 0;
    std::uint32_t length_ms = 0;
    std::uint8_t who = 0;
    std::uint8_t key = 0;
    /// The body of a call, or the sort of a fault.
    std::uint8_t flavour = 0;
};

struct history
{
    std::uint64_t seed = 0;
    std::vector<action> actions;
};

std::ostream& operator<<(std::ostream& out, const action& a);
std::ostream& operator<<(std::ostream& out, const history& h);

/// Plays one history.
class history_world
{
public:
    static constexpr std::size_t entry_count = 3;
    static constexpr std::size_t sidecar_count = 2;
    static constexpr std::size_t key_count = 3;

    explicit history_world(const history& played);

    /// Plays the history to its end, calls each key once more without faults,
    /// and returns the promises broken; empty when none was.
    [[nodiscard]] std::vector<std::string> play();

    /// Counts answers by code and notes of the cores, to see what histories
    /// reach.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& seen() const
    {
        return seen_;
    }

private:
    using step = std::function<void()>;

    struct call
    {
        std::size_t key = 0;
        std::uint8_t body = 0;
        /// Made after all faults, to see what can be retrieved.
        bool last = false;
        std::string request;
        std::unique_ptr<filing_core> core;
        std::unique_ptr<attempt::attempt_state_machine> running;
        /// Timers with older numbers were replaced.
        std::uint64_t timer = 0;
        std::uint64_t attempt_timer = 0;
    };
    struct entry
    {
        /// Grows at each crash; what was meant for an earlier one is lost.
        std::uint64_t life = 1;
        mono_time paused_until;
        std::map<std::size_t, call> calls;
        std::unique_ptr<claim_batcher> batcher;
        std::uint64_t batch_timer = 0;
        std::map<std::uint64_t, std::pair<std::size_t, operation_number>>
            tickets;
    };
    struct sidecar
    {
        std::uint64_t life = 1;
        mono_time paused_until;
        std::unique_ptr<attempt::dispatch_admission> gate;
        duration clock_offset{};
        /// Entries learn of a restart some time after it.
        mono_time restarted_at{duration::min() / 2};
        /// What to do when a run ends.
        std::map<attempt::attempt_id, std::vector<step>> listeners;
        std::map<attempt::attempt_id, attempt::run_outcome> outcomes;
        std::set<attempt::attempt_id> running;
    };
    struct run
    {
        std::string request;
        std::size_t sidecar = 0;
        std::uint64_t sidecar_life = 0;
        attempt::run_outcome outcome;
        bool lost = false;
    };
    struct queued
    {
        mono_time at;
        std::uint64_t sequence = 0;
        step what;
        friend bool operator<(const queued& a, const queued& b)
        {
            return a.at != b.at ? b.at < a.at : b.sequence < a.sequence;
        }
    };

    // Time and scheduling.
    void after(duration delay, step what);
    template <class Process>
    void at_process(Process& process, duration delay, step what);
    void drain_queue(mono_time until);
    [[nodiscard]] bool chance(unsigned percent);
    [[nodiscard]] duration some_delay(unsigned max_ms);
    [[nodiscard]] duration network_delay();
    [[nodiscard]] bool lost(network_fault kind);
    [[nodiscard]] attempt::sidecar_time clock_of(const sidecar& s) const;

    // The steps of a history.
    void schedule(const action& a);
    void start_entry(std::size_t e);
    void start_sidecar(std::size_t s);
    void crash_upstream(std::size_t s);
    void begin_call(
        std::size_t e, std::size_t key, std::uint8_t body, bool last);

    // The entry's shell.
    void feed(std::size_t e, std::size_t id, const filing_event& event);
    void obey(std::size_t e, std::size_t id, const filing_command& command);
    void plan(std::size_t e, std::size_t id, const ask_plan& asked);
    void batch(std::size_t e, const batcher_event& event);
    void transact(std::size_t e, const send_transaction& asked);
    void read(std::size_t e, std::size_t id, const read_row& asked);
    void start_run(std::size_t e, std::size_t id, const run_filing& asked);
    void feed_attempt(
        std::size_t e, std::size_t id, const attempt::attempt_id& attempt,
        const attempt::attempt_event& event);
    void obey_attempt(
        std::size_t e, std::size_t id, const attempt::attempt_command& command);

    // Between entry and sidecar.
    using tombstone_reply = std::function<void(attempt::tombstone_answer)>;
    void send_tombstone(
        std::size_t e, const attempt::attempt_id& attempt,
        const attempt::dispatch_target& target, tombstone_reply reply);
    void dispatch(std::size_t e, std::size_t id);
    void receive_dispatch(
        std::size_t s, const attempt::attempt_options& sent,
        const std::function<void(attempt::attempt_event)>& reply);
    void resume(std::size_t e, std::size_t id);
    void serve_stream(
        std::size_t s, const attempt::attempt_options& sent,
        const std::function<void(attempt::attempt_event)>& reply);
    [[nodiscard]] std::function<void(attempt::attempt_event)> connection(
        std::size_t e, std::size_t id, const attempt::attempt_id& attempt);

    // The upstream, which the oracle watches.
    void execute(std::size_t s, const attempt::attempt_id& attempt);
    void check_answer(const call& asked, const answer_caller& answer);
    void check_last_answer(const call& asked, const answer_caller& answer);

    history history_;
    random_source random_;
    mono_time now_{};
    std::uint64_t sequence_ = 0;
    std::priority_queue<queued> queue_;
    table_service::memory_table table_;
    std::array<entry, entry_count> entries_;
    std::array<sidecar, sidecar_count> sidecars_;
    table_fault table_fault_ = table_fault::none;
    network_fault network_fault_ = network_fault::none;
    std::size_t last_call_ = 0;
    bool sidecar_restarted_ = false;
    bool sidecar_drained_ = false;
    /// The history is over and its faults are mended.
    bool healed_ = false;
    /// Whether the sidecars' memory is too small to keep what came of runs.
    bool small_memory_ = false;

    /// By request id: the call's key and body.
    std::map<std::string, std::pair<std::size_t, std::uint8_t>> requests_;
    /// By key: what the upstreams ran.
    std::map<std::size_t, std::vector<run>> runs_;
    std::set<std::string> ran_;
    std::set<std::string> told_not_run_;
    std::vector<std::string> broken_;
    std::map<std::string, std::uint64_t> seen_;
};

} // namespace wagtailseam::filing::test

#endif
