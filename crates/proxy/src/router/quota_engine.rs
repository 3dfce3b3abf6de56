//! The engine that enforces quotas with the shared counter: the tenants' limits, and the number of
//! limiters that these are divided by.

use std::hash::Hasher;

use dataplane::engine::Engine;
use fnv::FnvHasher;
use protocol::items::Tenant;
use streamarch::{
    Class, CustomerId, Idempotency, InitialConcurrency, ListKind, Micros, Plan, ServerEntry,
    ServerId, ServerState, Settings,
};

use super::{MS, RequestRouter, SECOND, common_engine_settings};

/// Up to this number of limiters the engine calls the counter for every request.
pub(super) const MAX_COUNTING_LIMITERS: u32 = 64;
/// Shortest time-out of a counter call: the round trip over the longest link, and the event loops of the programs on the path.
pub const MIN_COUNTER_TIMEOUT: Micros = 300 * MS;
/// Longest time-out of a counter call: the loss of the counter may go unnoticed for this long.
pub const MAX_COUNTER_TIMEOUT: Micros = 900 * MS;
/// The engine's own time-out is a share of this. It is longer than the host's, so that the host's
/// applies.
const ENGINE_LATENCY_TARGET: Micros = 10 * SECOND;
/// Least approximate `Retry-After` for clients over their quota while there is no counter. After a
/// power failure of all zones, they would otherwise spend their retries on local shares before the
/// counter is back.
const MIN_RETRY_AFTER: Micros = 300 * MS;
/// A tenant may use its burst in each window in which quotas are counted. This part of it is
/// refilled evenly over the window, in addition to the rate.
const BURST_REFILL_SHARE: f64 = 0.1;
/// The part of the burst that may be used at once. The rest is reserved for a counter that was lost
/// with its owner and restarts with the full burst.
const INSTANT_BURST_SHARE: f64 = 0.45;
/// The part of the burst that may be used at once after the counter has moved to another replica.
const REDUCED_BURST_SHARE: f64 = 0.1;
/// The same for a small tenant, as a part of the permitted overshoot (`quota_slack`).
const REDUCED_SLACK_SHARE: f64 = 0.2;
/// The part of the permitted overshoot (`quota_slack`) that a small tenant may use at once.
const INSTANT_SLACK_SHARE: f64 = 0.6;
/// The length of the counter's windows.
const COUNTER_WINDOW: Micros = SECOND;
/// A lower number of limiters takes effect after this delay.
const DECREASE_DELAY: Micros = 10 * SECOND;
/// The time after the first announced number of limiters in which a proxy assumes a higher one.
pub(super) const STARTUP_DURATION: Micros = 1_500 * MS;
/// Least number of limiters assumed during start-up, since all of them may be starting.
const MIN_LIMITERS_AT_STARTUP: u32 = 16;
/// Smaller clock jumps are ignored, as they shift the windows only slightly.
const MIN_CLOCK_JUMP: Micros = 250 * MS;
/// The window over which a tenant's use is bounded by its quota.
const QUOTA_WINDOW: Micros = 5 * SECOND;
/// An isolated limiter divides its local share by this factor.
pub(super) const ISOLATED_SHARE_DIVISOR: u32 = 3;
/// Least part of its units that the call for a request adds which is unlikely to be admitted.
/// Dozens of calls are in flight at once, as the counter is far away, and each may find tokens that
/// suffice for one request only.
const MIN_ADDED_UNITS_SHARE: f64 = 0.25;
/// The only server of the quota engine; an attempt at it means that the request is admitted.
const PLACEHOLDER_SERVER: ServerId = ServerId(0);
/// The placeholder server takes any number of attempts at once.
const UNLIMITED_CONCURRENCY: InitialConcurrency = InitialConcurrency(1e9);

/// The customer number of a tenant.
pub(super) fn customer_id(tenant: &str) -> CustomerId {
    let mut hasher = FnvHasher::default();
    hasher.write(tenant.as_bytes());
    // All limiters must derive the same number from the name: it identifies the shared counter.
    CustomerId(hasher.finish() >> 2)
}

/// Creates the engine that enforces quotas. Its only server is a placeholder, at which an attempt of
/// each admitted request is started.
pub(super) fn quota_engine(seed: u64, max_requests: usize) -> Engine {
    let latency_target = ENGINE_LATENCY_TARGET;
    let class = Class {
        latency_target,
        client_timeout: 10 * latency_target,
        late_value_share: 0.0,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    };
    let settings = Settings {
        classes: vec![class],
        counter_available: true,
        even_shares_counter_lost: true,
        even_share_first: true,
        min_counted_share: MIN_ADDED_UNITS_SHARE,
        initial_concurrency: UNLIMITED_CONCURRENCY,
        min_retry_after_counter_lost: MIN_RETRY_AFTER,
        max_attempts: 1,
        ..common_engine_settings(MAX_COUNTING_LIMITERS)
    };
    let mut engine = Engine::new(settings, seed, max_requests);
    let placeholder = ServerEntry {
        server: PLACEHOLDER_SERVER,
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: 0,
    };
    engine.update_servers(ListKind::Full, vec![placeholder]);
    engine
}

impl RequestRouter {
    /// Sets the number of limiters. A higher number takes effect at once, a lower one after a
    /// delay: leases that expire while the control plane is impaired would otherwise enlarge every
    /// local share, although limiters that are cut off go on using theirs. A proxy that has just
    /// started assumes twice the number: an impaired control plane may not know all limiters yet.
    pub fn set_limiter_count(&mut self, now: Micros, limiter_count: u32) {
        self.limiter_count = limiter_count.clamp(1, MAX_COUNTING_LIMITERS);
        let is_starting = now < *self.startup_until.get_or_insert(now + STARTUP_DURATION);
        let (since, highest_count) = self.pending_decrease.unwrap_or((now, 1));
        let highest_count = highest_count.max(self.limiter_count);
        if is_starting {
            (self.quota_divisor, self.pending_decrease) = (
                (2 * highest_count).clamp(MIN_LIMITERS_AT_STARTUP, MAX_COUNTING_LIMITERS),
                Some((now - DECREASE_DELAY, highest_count)),
            );
        } else if self.limiter_count >= self.quota_divisor {
            (self.quota_divisor, self.pending_decrease) = (self.limiter_count, None);
        } else if now - since >= DECREASE_DELAY {
            (self.quota_divisor, self.pending_decrease) = (highest_count, None);
        } else {
            self.pending_decrease = Some((since, highest_count));
        }
    }

    /// Sets whether this limiter has lost contact with the control plane for long. The other
    /// limiters then reserve nothing for it any more, so that it uses only a part of its local
    /// share.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.is_isolated = is_isolated;
    }

    /// The limiters' clock jumps ahead by `jump` to `now`. Requests admitted recently count in
    /// windows that are now over, and the shares of the new windows would be used in addition.
    /// Shares are therefore reduced for as long as the jump, at most for one quota window.
    pub fn handle_clock_jump(&mut self, now: Micros, jump: Micros) {
        // No time has passed: a proxy that has just started must not take the first number of
        // limiters that it receives as complete.
        let jump = jump.max(0);
        self.quota_shares.handle_clock_jump(now, jump);
        self.startup_until = self.startup_until.map(|until| until + jump);
        self.pending_decrease = self
            .pending_decrease
            .map(|(since, highest_count)| (since + jump, highest_count));
        if jump > MIN_CLOCK_JUMP && self.plan_count > 0 {
            self.reduced_shares_until = now + jump.min(QUOTA_WINDOW);
        }
    }

    /// The index of a tenant's plan in the quota engine; a plan is added for limits that the tenant
    /// did not have before.
    pub(super) fn plan_index(&mut self, now: Micros, tenant_name: &str, tenant: &Tenant) -> usize {
        let is_reduced = self.quota_shares.has_reduced_burst(now);
        let limits = (tenant.per_s.to_bits(), tenant.burst.to_bits());
        if let Some((_, index)) = self.plan_indices[usize::from(is_reduced)]
            .get(tenant_name)
            .filter(|(known_limits, _)| *known_limits == limits)
        {
            return *index;
        }
        let index = self.plan_count;
        self.plan_count += 1;
        self.plan_indices[usize::from(is_reduced)].insert(tenant_name.to_string(), (limits, index));
        let quota_window_s = (self.bounds.quota_window.0 as f64 / SECOND as f64).max(1.0);
        let (burst_share, slack_share) = if is_reduced {
            (REDUCED_BURST_SHARE, REDUCED_SLACK_SHARE)
        } else {
            (INSTANT_BURST_SHARE, INSTANT_SLACK_SHARE)
        };
        let instant_slack = self.bounds.quota_slack * slack_share;
        let plan = Plan {
            rate_per_s: tenant.per_s + BURST_REFILL_SHARE * tenant.burst / quota_window_s,
            burst: (burst_share * tenant.burst)
                .max(instant_slack.min(tenant.burst))
                .max(1.0),
            value_factor: 1.0,
            over_quota_cost_share: 1.0,
            max_carryover: tenant.per_s,
            // With an explicit window a tenant keeps its remaining tokens when its limits change.
            inherited_window: COUNTER_WINDOW,
            ..Plan::default()
        };
        self.engines[0].engine.add_plan(plan);
        index
    }
}
