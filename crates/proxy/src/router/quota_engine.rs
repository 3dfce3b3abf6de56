//! The engine that enforces quotas with the shared counter: the tenants' limits, and the number of
//! limiters that share them.

use std::hash::Hasher;

use dataplane::engine::Engine;
use fnv::FnvHasher;
use protocol::items::Tenant;
use streamarch::{
    Class, CustomerId, Idempotency, InitialConcurrency, ListKind, Micros, Plan, ServerEntry,
    ServerId, ServerState, Settings,
};

use super::{MS, RequestRouter, SECOND, common_engine_settings};

/// Up to this many limiters the engine asks the counter for every request.
pub(super) const MAX_COUNTING_LIMITERS: u32 = 64;
/// The least time-out of a counter call: the round trip over the longest link, and the turns of the programs on the way.
pub const MIN_COUNTER_TIMEOUT: Micros = 300 * MS;
/// The greatest one: a counter that is gone is not noticed for as long.
pub const MAX_COUNTER_TIMEOUT: Micros = 900 * MS;
/// The engine's own time-out, a share of its latency target, is longer than the host's so that the
/// host's applies.
const ENGINE_LATENCY_TARGET: Micros = 10 * SECOND;
/// While there is no counter, clients over their quota are told to stay away for about this long at
/// least: after a loss of power everywhere they would otherwise spend their retries on local shares
/// before the counter is back.
const MIN_RETRY_AFTER: Micros = 300 * MS;
/// A tenant may use its burst in each window in which quotas are counted. This part of it is
/// refilled evenly over the window, in addition to the rate...
const BURST_REFILL_SHARE: f64 = 0.1;
/// ...and this part may be used at one instant. The rest is reserved for a counter that was lost
/// with its owner and restarts full.
const INSTANT_BURST_SHARE: f64 = 0.45;
/// After the counter has moved to another replica, this part of the burst replaces it.
const REDUCED_BURST_SHARE: f64 = 0.1;
/// ...and this part of the slack, for a small tenant.
const REDUCED_SLACK_SHARE: f64 = 0.2;
/// A small tenant may use up to this part of the rules' slack at one instant.
const INSTANT_SLACK_SHARE: f64 = 0.6;
/// The counter's windows.
const COUNTER_WINDOW: Micros = SECOND;
/// A lower number of limiters takes effect after this time; a proxy assumes more than it is told
/// for as long after its start.
const DECREASE_DELAY: Micros = 10 * SECOND;
pub(super) const STARTUP_DURATION: Micros = 1_500 * MS;
/// At least this many limiters are assumed, since all may be starting.
const MIN_LIMITERS_AT_STARTUP: u32 = 16;
/// Clock jumps below this only shift the windows a little, and are ignored.
const MIN_CLOCK_JUMP: Micros = 250 * MS;
/// The window in which the rules count quotas.
const QUOTA_WINDOW: Micros = 5 * SECOND;
/// A limiter that is isolated divides its local share by this factor.
pub(super) const ISOLATED_SHARE_DIVISOR: u32 = 3;
/// The chance below which a call is not worth its request: dozens are in flight at once, as the
/// counter is far away.
const MIN_CALL_PROBABILITY: f64 = 0.25;
/// Stands for all servers where a tenant is only checked; it accepts everything at once.
const PLACEHOLDER_SERVER: ServerId = ServerId(0);
const NO_FIRST_BOUND: InitialConcurrency = InitialConcurrency(1e9);

pub(super) fn customer_id(tenant: &str) -> CustomerId {
    let mut hasher = FnvHasher::default();
    hasher.write(tenant.as_bytes());
    // All limiters derive the same number from the name: it identifies the shared counter.
    CustomerId(hasher.finish() >> 2)
}

/// The engine that enforces quotas. It knows one server, which accepts everything that is admitted.
pub(super) fn quota_engine(seed: u64, most: usize) -> Engine {
    let aim = ENGINE_LATENCY_TARGET;
    let worth = Class {
        latency_target: aim,
        client_timeout: 10 * aim,
        late_value_share: 0.0,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    };
    let settings = Settings {
        classes: vec![worth],
        counter_available: true,
        even_shares_counter_lost: true,
        even_share_first: true,
        min_counted_share: MIN_CALL_PROBABILITY,
        initial_concurrency: NO_FIRST_BOUND,
        min_retry_after_counter_lost: MIN_RETRY_AFTER,
        max_attempts: 1,
        ..common_engine_settings(MAX_COUNTING_LIMITERS)
    };
    let mut engine = Engine::new(settings, seed, most);
    let through = ServerEntry {
        server: PLACEHOLDER_SERVER,
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: 0,
    };
    engine.update_servers(ListKind::Full, vec![through]);
    engine
}

impl RequestRouter {
    /// Sets the number of limiters. A higher number takes effect at once, a lower one after a
    /// delay: leases that expire while the control plane is in trouble would enlarge every local
    /// share, and limiters that are cut off go on using theirs. A proxy that has just started
    /// assumes twice as many: a control plane in trouble may not have heard of all of them.
    pub fn set_limiter_count(&mut self, now: Micros, limiters: u32) {
        self.limiter_count = limiters.clamp(1, MAX_COUNTING_LIMITERS);
        let young = now < *self.startup_until.get_or_insert(now + STARTUP_DURATION);
        let (since, most) = self.pending_decrease.unwrap_or((now, 1));
        let most = most.max(self.limiter_count);
        if young {
            (self.quota_divisor, self.pending_decrease) = (
                (2 * most).clamp(MIN_LIMITERS_AT_STARTUP, MAX_COUNTING_LIMITERS),
                Some((now - DECREASE_DELAY, most)),
            );
        } else if self.limiter_count >= self.quota_divisor {
            (self.quota_divisor, self.pending_decrease) = (self.limiter_count, None);
        } else if now - since >= DECREASE_DELAY {
            (self.quota_divisor, self.pending_decrease) = (most, None);
        } else {
            self.pending_decrease = Some((since, most));
        }
    }

    /// This limiter has not heard from the control plane for long. The others leave nothing for it
    /// any more, so that it uses only a part of its local share.
    pub fn set_isolated(&mut self, alone: bool) {
        self.is_isolated = alone;
    }

    /// The limiters' clock jumps ahead to `now`: what was admitted lately counts in windows that
    /// are over, and the shares of the new windows would be added to it. Shares are reduced until
    /// the same time has passed.
    pub fn handle_clock_jump(&mut self, now: Micros, by: Micros) {
        // No time has passed: a proxy that has just started must not take the first number it hears
        // as complete.
        let by = by.max(0);
        self.quota_shares.handle_clock_jump(now, by);
        self.startup_until = self.startup_until.map(|until| until + by);
        self.pending_decrease = self
            .pending_decrease
            .map(|(since, most)| (since + by, most));
        if by > MIN_CLOCK_JUMP && self.plan_count > 0 {
            self.reduced_shares_until = now + by.min(QUOTA_WINDOW);
        }
    }

    /// The position of a tenant's plan in the quota engine.
    pub(super) fn plan_index(&mut self, now: Micros, name: &str, tenant: &Tenant) -> usize {
        let lean = self.quota_shares.has_reduced_burst(now);
        let figures = (tenant.per_s.to_bits(), tenant.burst.to_bits());
        if let Some((_, position)) = self.plan_indices[usize::from(lean)]
            .get(name)
            .filter(|(held, _)| *held == figures)
        {
            return *position;
        }
        let position = self.plan_count;
        self.plan_count += 1;
        self.plan_indices[usize::from(lean)].insert(name.to_string(), (figures, position));
        let span = (self.bounds.quota_window.0 as f64 / SECOND as f64).max(1.0);
        let (part, slack) = if lean {
            (REDUCED_BURST_SHARE, REDUCED_SLACK_SHARE)
        } else {
            (INSTANT_BURST_SHARE, INSTANT_SLACK_SHARE)
        };
        let slack = self.bounds.quota_slack * slack;
        let plan = Plan {
            rate_per_s: tenant.per_s + BURST_REFILL_SHARE * tenant.burst / span,
            burst: (part * tenant.burst).max(slack.min(tenant.burst)).max(1.0),
            value_factor: 1.0,
            over_quota_cost_share: 1.0,
            max_carryover: tenant.per_s,
            // With an explicit window a tenant keeps its remaining tokens when its limits change.
            inherited_window: COUNTER_WINDOW,
            ..Plan::default()
        };
        self.engines[0].engine.add_plan(plan);
        position
    }
}
