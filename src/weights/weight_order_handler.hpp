// State machine of a sidecar: admits weight orders to the engine and checks
// that dispatches match the weights that the engine runs. No I/O.
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

/// Identifies a received message; the caller assigns it and gets it back with
/// the answer.
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

/// The lease row's fencing number, read after this process started.
struct fencing_read
{
    fencing_number minimum;
};

/// The lease row could not be read.
struct fencing_read_failed
{
};

struct order_received
{
    call_id call;
    weight_order order;
};

/// A lease holder requests the engine's status. Orders with lower numbers that
/// have not started are rejected from then on.
struct status_requested
{
    call_id call;
    order_number number;
};

/// The engine's answer to send_order.
struct engine_answered
{
    std::uint64_t request_id = 0;
    /// ok; stale_fencing_number from an engine that checks fencing numbers; or
    /// another failure, after which the engine's setup is unchanged.
    result_code code = result_code::ok;
};

/// The engine reports its setup, at its start and after a reconnect.
struct engine_reported
{
    engine_setup setup;
    /// Whether a load that a previous sidecar instance started is in progress.
    bool loading = false;
};

using order_handler_event = std::variant<
    fencing_read, fencing_read_failed, order_received, status_requested,
    engine_answered, engine_reported>;

/// Requests a read of the lease row.
struct read_fencing
{
};

struct send_order
{
    std::uint64_t request_id = 0;
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
    /// This sidecar instance, which orders must name as their target.
    incarnation sidecar;
};

/// The engine runs these weights from now on; cached blocks of the previous
/// version are invalid.
struct version_changed
{
    weight_version version;
};

using order_handler_command = std::variant<
    read_fencing, send_order, order_completed, status_answered,
    version_changed>;

/// Handles the weight orders for one engine.
///
/// After a start, the minimum fencing number is read from the table before any
/// order is admitted, so engines that ignore fencing numbers are as safe as
/// those that check them. Only one order is in progress at a time; others are
/// rejected as busy rather than queued, because their holder could lose the
/// lease while they wait.
class weight_order_handler
{
public:
    explicit weight_order_handler(incarnation sidecar) : incarnation_(sidecar)
    {
    }
    /// Applies one event and returns the resulting commands. Complexity:
    /// constant, apart from copies of the setup.
    [[nodiscard]] std::vector<order_handler_command> handle(
        const order_handler_event& event);

    /// Checks a dispatch planned for a model and version.
    /// @return ok, or weight_version_mismatch, and the dispatch must not run.
    /// Running requests are not affected by later version changes.
    [[nodiscard]] result_code check_dispatch(
        const model_id& model, weight_version planned) const;

    [[nodiscard]] bool loading() const noexcept
    {
        return active_order_.has_value() || inherited_load_;
    }

private:
    struct active_order
    {
        call_id call;
        std::uint64_t request_id = 0;
        weight_order order;
    };

    void on(const fencing_read& event);
    void on(const fencing_read_failed& event);
    void on(const order_received& event);
    void on(const status_requested& event);
    void on(const engine_answered& event);
    void on(const engine_reported& event);
    /// Returns ok and records the number as the highest one, or returns the
    /// code of the rejection.
    [[nodiscard]] result_code admit(const order_number& number);
    void apply_setup(const engine_setup& setup);

    incarnation incarnation_;
    /// The highest number received. @invariant never decreases
    order_number highest_number_;
    bool minimum_known_ = false;
    bool read_pending_ = false;
    std::uint64_t last_request_id_ = 0;
    std::optional<active_order> active_order_;
    /// A load started by a previous instance of this sidecar is in progress;
    /// reset by engine_reported.
    bool inherited_load_ = false;
    std::optional<weight_order> last_completed_;
    /// What the engine runs; empty until its first report.
    std::optional<engine_setup> setup_;
    std::vector<order_handler_command> commands_;
};

} // namespace wagtailseam::weights

#endif
