//! Each proxy's own bound on a tenant while the shared count is in doubt: a token bucket of its even share.
//!
//! The bucket runs all the time and is charged with all that is let through; it binds only while the count does not
//! answer, and for a while after another replica holds it. So what the proxies let through in that time is bounded by the
//! sum of their buckets, however often the count is lost, empty, or moved: `docs/control-hardening.md`.

use std::collections::BTreeMap;

use streamarch::Micros;

use super::SECOND;

/// After the first total of another holder shares bind for so long: its totals of the open window and of the one before
/// are whole then, as every proxy adds to it from its own first total on.
const SETTLING_DURATION: Micros = 2 * SECOND;
/// From its first total on a tenant's burst is small for as long as the rules count: what it had under the last holder may
/// have been a whole one.
const SMALL_BURST_DURATION: Micros = 5 * SECOND;
/// The proxies' buckets hold this part of a tenant's burst in all...
const BURST_SHARE: f64 = 0.2;
/// ...or this part of what the rules allow on top, if that is more.
const SLACK_SHARE: f64 = 0.3;

/// A tenant's figures at one proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaShare {
    /// Requests a second.
    rate: f64,
    /// Requests at one instant.
    burst: f64,
}

impl QuotaShare {
    /// The part of one of so many proxies.
    pub(super) fn of(per_s: f64, burst: f64, slack: f64, spread: u32) -> QuotaShare {
        let spread = f64::from(spread.max(1));
        let held = (BURST_SHARE * burst).max((SLACK_SHARE * slack).min(burst));
        QuotaShare {
            rate: per_s / spread,
            burst: held / spread,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Micros,
    /// The doubt that it was last clipped for.
    doubt: u64,
}

impl Bucket {
    fn fill(&mut self, now: Micros, share: QuotaShare) {
        let flowed = share.rate * (now - self.at).max(0) as f64 / SECOND as f64;
        // A share below one request still lets one through once it has come together.
        let most = share.burst.max(1.0);
        (self.level, self.at) = ((self.level + flowed).min(most), self.at.max(now));
    }
}

/// The buckets of one proxy.
#[derive(Clone, Debug)]
pub(super) struct QuotaShares {
    buckets: BTreeMap<String, Bucket>,
    /// The last call was not answered by a total.
    calls_failing: bool,
    /// Since another holder was heard of, a total has come in.
    has_total: bool,
    /// Shares bind until then; without it, until a total has come in.
    settled_at: Option<Micros>,
    /// The burst is small until then.
    small_burst_until: Option<Micros>,
    /// Numbers the spells of doubt.
    doubt_number: u64,
    /// The count was held by another one before, as far as this proxy knows.
    had_holder: bool,
}

impl Default for QuotaShares {
    /// Nobody is known to hold the count; the first one to be heard of is another one.
    fn default() -> QuotaShares {
        let (settled, lean) = (Some(Micros::MIN), Some(Micros::MIN));
        QuotaShares {
            buckets: BTreeMap::new(),
            calls_failing: false,
            has_total: false,
            settled_at: settled,
            small_burst_until: lean,
            doubt_number: 0,
            had_holder: false,
        }
    }
}

impl QuotaShares {
    /// Another replica holds the count, or the same one without its numbers.
    pub(super) fn handle_holder_changed(&mut self) {
        (self.has_total, self.settled_at, self.small_burst_until) = (false, None, None);
        self.doubt_number += 1;
    }

    /// A call of the count was answered by a total, or not.
    pub(super) fn handle_call_result(&mut self, total: bool) {
        self.doubt_number += u64::from(!total && !self.calls_failing);
        self.calls_failing = !total;
        self.has_total |= total;
    }

    /// The limiters' clock goes on to `now` by so much at once: no time has passed.
    pub(super) fn handle_clock_jump(&mut self, now: Micros, by: Micros) {
        // Danger: what was over before must not begin again.
        let ahead = |at: Micros| {
            if at > now.saturating_sub(by) {
                at.saturating_add(by)
            } else {
                at
            }
        };
        let later = |at: Option<Micros>| at.map(ahead);
        (self.settled_at, self.small_burst_until) =
            (later(self.settled_at), later(self.small_burst_until));
        self.buckets
            .values_mut()
            .for_each(|bucket| bucket.at = (bucket.at + by).min(now));
    }

    /// Shares bind now.
    pub(super) fn is_binding(&mut self, now: Micros) -> bool {
        if self.settled_at.is_none() && self.has_total {
            // The first holder that a proxy hears of has not moved: nothing was let through by totals of another one here.
            let spans = if self.had_holder {
                (SETTLING_DURATION, SMALL_BURST_DURATION)
            } else {
                (0, 0)
            };
            (self.settled_at, self.small_burst_until, self.had_holder) =
                (Some(now + spans.0), Some(now + spans.1), true);
        }
        self.calls_failing || self.settled_at.is_none_or(|until| now < until)
    }

    /// The burst is small now.
    pub(super) fn has_small_burst(&self, now: Micros) -> bool {
        self.small_burst_until.is_none_or(|until| now < until)
    }

    /// A request of a tenant: charges it, unless the share binds and is used up; then, how long until it is not.
    pub(super) fn try_charge(
        &mut self,
        now: Micros,
        tenant: &str,
        share: QuotaShare,
    ) -> Result<(), Micros> {
        let (binds, doubt) = (self.is_binding(now), self.doubt_number);
        if !self.buckets.contains_key(tenant) {
            let bucket = Bucket {
                level: share.burst,
                at: now,
                doubt,
            };
            self.buckets.insert(tenant.to_string(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(());
        };
        bucket.fill(now, share);
        if bucket.doubt != doubt {
            (bucket.level, bucket.doubt) = (bucket.level.min(share.burst), doubt);
        }
        if binds && bucket.level < 1.0 {
            let wait = (1.0 - bucket.level) / share.rate.max(1e-9) * SECOND as f64;
            return Err(wait as Micros);
        }
        bucket.level = (bucket.level - 1.0).max(0.0);
        Ok(())
    }

    /// A request that was charged was not let through.
    pub(super) fn refund(&mut self, tenant: &str) {
        self.buckets
            .entry(tenant.to_string())
            .and_modify(|bucket| bucket.level += 1.0);
    }
}

#[cfg(test)]
#[path = "fallback_tests.rs"]
mod tests;
