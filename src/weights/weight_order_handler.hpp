// An engine's sidecar: which orders reach the engine, and which dispatches
// match the weights that it runs.
#ifndef WAGTAILSEAM_WEIGHTS_WEIGHT_ORDER_HANDLER_HPP
#define WAGTAILSEAM_WEIGHTS_WEIGHT_ORDER_HANDLER_HPP

#include "core/result_code.hpp"
#include "weights/weight_order.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace wagtailseam::weights
{

/// Chosen by the shell; returned with the answer.
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

/// The table's fencing number of the lease, read after this process started.
struct fencing_read
{
    fencing_number floor;
};

/// The read of the floor failed.
struct fencing_read_failed
{
};

struct order_received
{
    call_id call;
    weight_order order;
};

/// A holder asks what the engine does. Earlier orders that have not begun
/// never will.
struct status_requested
{
    call_id call;
    order_number number;
};

/// The engine's answer to send_order.
struct engine_answered
{
    std::uint64_t sent = 0;
    /// ok, stale_fencing_number from an engine that checks, or a failure after
    /// which the engine runs what it ran before.
    result_code code = result_code::ok;
};

/// The engine reports what it runs, at its start and after a lost connection.
struct engine_reported
{
    engine_setup setup;
    /// Whether a load that an earlier sidecar began is still under way.
    bool loading = false;
};

using order_handler_event = std::variant<
    fencing_read, fencing_read_failed, order_received, status_requested,
    engine_answered, engine_reported>;

/// The shell reads the lease's row.
struct read_fencing
{
};

struct send_order
{
    std::uint64_t sent = 0;
    weight_order order;
};

/// The answer to order_received.
struct order_completed
{
    call_id call;
    result_code code = result_code::ok;
};

/// The answer to status_requested.
struct status_answered
{
    call_id call;
    result_code code = result_code::ok;
    bool loading = false;
    std::optional<engine_setup> setup;
    /// Of this sidecar; orders name it.
    incarnation life;
};

/// The engine runs these weights from now on; other duties forget the blocks
/// of the version before.
struct version_changed
{
    weight_version version;
};

using order_handler_command = std::variant<
    read_fencing, send_order, order_completed, status_answered,
    version_changed>;

/// The decision core of orders at one engine.
///
/// After a start the floor is read from the table before the first order is
/// taken, so that an engine that ignores fencing numbers is as safe as one
/// that checks them. One order is under way at a time; a further one is refused
/// as busy, so that none waits here while its holder loses the lease.
class weight_order_handler
{
public:
    explicit weight_order_handler(incarnation life) : life_(life) {}
    /// Applies one event. Complexity: constant but for copies of the setup.
    [[nodiscard]] std::vector<order_handler_command> handle(
        const order_handler_event& what);

    /// Judges a dispatch planned for a version: ok, or a code that says that
    /// it was not run. Runs under way are not asked again and keep theirs.
    [[nodiscard]] result_code check_dispatch(
        const model_id& model, weight_version planned) const;

    [[nodiscard]] bool loading() const noexcept
    {
        return under_way_.has_value() || inherited_load_;
    }

private:
    struct running_order
    {
        call_id call;
        std::uint64_t sent = 0;
        weight_order order;
    };

    void on(const fencing_read& read);
    void on(const fencing_read_failed& failed);
    void on(const order_received& arrived);
    void on(const status_requested& asked);
    void on(const engine_answered& answered);
    void on(const engine_reported& reported);
    /// Returns ok and raises the floor, or the code of the refusal.
    [[nodiscard]] result_code admit(const order_number& number);
    void take_setup(const engine_setup& setup);

    incarnation life_;
    /// The latest message heard. @invariant never goes down.
    order_number floor_;
    bool floor_known_ = false;
    bool reading_ = false;
    std::uint64_t last_sent_ = 0;
    std::optional<running_order> under_way_;
    /// A load of an earlier life of this process; ends by engine_reported.
    bool inherited_load_ = false;
    std::optional<weight_order> last_done_;
    /// What the engine runs; unknown before it reported.
    std::optional<engine_setup> setup_;
    std::vector<order_handler_command> out_;
};

} // namespace wagtailseam::weights

#endif
