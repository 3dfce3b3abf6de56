//! The engine that judges tenants by the shared count: their figures, and by how many limiters their slices are shared.

use std::hash::Hasher;

use dataplane::engine::Engine;
use fnv::FnvHasher;
use protocol::items::Tenant;
use streamarch::{
    Class, CustomerId, FirstBound, ListKind, Micros, Plan, Repeat, ServerEntry, ServerId,
    ServerState, Settings,
};

use super::{MS, RequestRouter, SECOND, settings};

/// Limiters up to which the module asks the count for every request.
pub(super) const ASKERS: u32 = 64;
/// A total is waited for so long: there and back over the farthest link, and the rounds of the programs between. The
/// host tells the module when that is over.
pub(super) const COUNT_WAIT: Micros = 300 * MS;
/// The module itself gives up a wait after a share of the aim; of this one it is longer than the host's.
const JUDGING_AIM: Micros = 10 * SECOND;
/// While there is no count, who is over its quota is told to stay away for about this at the least: after all have lost power
/// clients would use up their tries on slices of the quota before the count is back.
const LEAST_AWAY: Micros = 300 * MS;
/// A tenant may have its burst on top in each span in which quotas are counted. Of it this part comes back evenly over the
/// span, beside its rate...
const BURST_FLOW: f64 = 0.1;
/// ...and this part may be had at one instant. What is left is for a count that was lost with its holder and starts full.
const BURST_SHARE: f64 = 0.45;
/// After another replica has taken the count this part of the burst in place of that.
const LEAN_SHARE: f64 = 0.1;
/// ...and this part of the slack for a small tenant.
const LEAN_SLACK: f64 = 0.2;
/// A small tenant has up to this part of the rules' slack at one instant.
const SLACK_SHARE: f64 = 0.6;
/// Windows of the count.
const COUNTED: Micros = SECOND;
/// A lower number of limiters counts after this; and so long a proxy goes by more than it is told, at its start.
const FEWER: Micros = 10 * SECOND;
pub(super) const FIRST: Micros = 1_500 * MS;
/// For so many at the least, since all may be starting.
const MANY: u32 = 16;
/// Clocks go on at once by less than this where windows slide a little only.
const JUMP: Micros = 250 * MS;
/// The rules' window of quotas.
const WINDOW: Micros = 5 * SECOND;
/// Slices of a limiter that is alone are for so many times as many.
pub(super) const ALONE: u32 = 3;
/// What a call adds that is not likely to let its request through: dozens are out at once, as the count is far.
const ADD_LEAST: f64 = 0.25;
/// Stands for all servers where a tenant is only judged, and takes as many as come at once.
const THROUGH: ServerId = ServerId(0);
const ALL: FirstBound = FirstBound(1e9);

pub(super) fn customer(tenant: &str) -> CustomerId {
    let mut hasher = FnvHasher::default();
    hasher.write(tenant.as_bytes());
    // All limiters come to the same number: it names the shared counts.
    CustomerId(hasher.finish() >> 2)
}

/// The engine that judges tenants. It knows one server, which takes all that is let through.
pub(super) fn judging(seed: u64, most: usize) -> Engine {
    let aim = JUDGING_AIM;
    let worth = Class {
        aim,
        deadline: 10 * aim,
        late_worth: 0.0,
        worth: 1.0,
        repeat: Repeat::Safe,
        stream: false,
    };
    let settings = Settings {
        classes: vec![worth],
        counter: true,
        lost_slices: true,
        slice_first: true,
        add_least: ADD_LEAST,
        first_bound: ALL,
        least_away: LEAST_AWAY,
        max_attempts: 1,
        ..settings(ASKERS)
    };
    let mut engine = Engine::new(settings, seed, most);
    let through = ServerEntry {
        server: THROUGH,
        zone: 0,
        kind: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: 0,
    };
    engine.listed(ListKind::Full, vec![through]);
    engine
}

impl RequestRouter {
    /// So many limiters there are. For slices more count at once, and fewer only after a while: leases that run out
    /// while the core is in trouble would make every slice larger, and those that are cut off go on using theirs. A
    /// proxy that has just started takes them for twice as many: a core in trouble may not have heard of all yet.
    pub fn limiters(&mut self, now: Micros, limiters: u32) {
        self.limiters = limiters.clamp(1, ASKERS);
        let young = now < *self.starting_until.get_or_insert(now + FIRST);
        let (since, most) = self.pending_decrease.unwrap_or((now, 1));
        let most = most.max(self.limiters);
        if young {
            (self.spread, self.pending_decrease) =
                ((2 * most).clamp(MANY, ASKERS), Some((now - FEWER, most)));
        } else if self.limiters >= self.spread {
            (self.spread, self.pending_decrease) = (self.limiters, None);
        } else if now - since >= FEWER {
            (self.spread, self.pending_decrease) = (most, None);
        } else {
            self.pending_decrease = Some((since, most));
        }
    }

    /// This limiter has heard nothing of the core for long. The others leave nothing for it any more, so that it takes its
    /// slices for a part of what they were.
    pub fn alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// The limiters' clock goes on to `now` by so much at once: what was let through lately counts in windows that are over,
    /// and the slices of new ones come on top. They are taken for a part until as much time has passed.
    pub fn jumped(&mut self, now: Micros, by: Micros) {
        // Danger: no time has passed. A proxy that has just started would take its first hearsay for all there is.
        let by = by.max(0);
        self.quota_shares.handle_clock_jump(now, by);
        self.starting_until = self.starting_until.map(|until| until + by);
        self.pending_decrease = self
            .pending_decrease
            .map(|(since, most)| (since + by, most));
        if by > JUMP && self.positions > 0 {
            self.careful_until = now + by.min(WINDOW);
        }
    }

    /// The position of a tenant's figures in the judging engine.
    pub(super) fn plan(&mut self, now: Micros, name: &str, tenant: &Tenant) -> usize {
        let lean = self.quota_shares.has_small_burst(now);
        let figures = (tenant.per_s.to_bits(), tenant.burst.to_bits());
        if let Some((_, position)) = self.plans[usize::from(lean)]
            .get(name)
            .filter(|(held, _)| *held == figures)
        {
            return *position;
        }
        let position = self.positions;
        self.positions += 1;
        self.plans[usize::from(lean)].insert(name.to_string(), (figures, position));
        let span = (self.bounds.quota_window.0 as f64 / SECOND as f64).max(1.0);
        let (part, slack) = if lean {
            (LEAN_SHARE, LEAN_SLACK)
        } else {
            (BURST_SHARE, SLACK_SHARE)
        };
        let slack = self.bounds.quota_slack * slack;
        let plan = Plan {
            rate: tenant.per_s + BURST_FLOW * tenant.burst / span,
            burst: (part * tenant.burst).max(slack.min(tenant.burst)).max(1.0),
            price: 1.0,
            over_cost: 1.0,
            repaid: tenant.per_s,
            // With a length that is named, what a tenant has left stays when its figures change.
            window: COUNTED,
            ..Plan::default()
        };
        self.engines[0].engine.plan_added(plan);
        position
    }
}
