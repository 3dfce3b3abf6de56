//! Local quota shares: while the shared counter is in doubt, each proxy bounds a tenant by a token
//! bucket of its even share.
//!
//! The buckets run all the time and are charged for every admitted request; they bind only while
//! the counter does not answer, and for a while after another replica took it over. What all
//! proxies admit in that time is bounded by the sum of their buckets, however often the counter is
//! lost, emptied or moved: see `docs/control-hardening.md`.

use std::collections::BTreeMap;

use streamarch::Micros;

use super::SECOND;

/// Shares bind for this long after the first total from a new owner: by then its totals of the open
/// window and of the one before are complete, as every proxy adds to them from its own first total
/// on.
const SETTLING_PERIOD: Micros = 2 * SECOND;
/// From that first total on the burst is reduced for as long as the rules count: the tenant may
/// have used a whole burst under the previous owner.
const REDUCED_BURST_PERIOD: Micros = 5 * SECOND;
/// All proxies' buckets together hold this part of a tenant's burst...
const BURST_SHARE: f64 = 0.2;
/// ...or this part of the rules' slack, if that is more.
const SLACK_SHARE: f64 = 0.3;

/// A tenant's token bucket at one proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaShare {
    /// Refill rate in requests a second.
    rate_per_s: f64,
    /// Capacity in requests.
    burst: f64,
}

impl QuotaShare {
    /// The share of one of `proxies`.
    pub(super) fn new(per_s: f64, burst: f64, slack: f64, spread: u32) -> QuotaShare {
        let spread = f64::from(spread.max(1));
        let held = (BURST_SHARE * burst).max((SLACK_SHARE * slack).min(burst));
        QuotaShare {
            rate_per_s: per_s / spread,
            burst: held / spread,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Micros,
    /// The doubt period for which the bucket was last clipped.
    outage: u64,
}

impl Bucket {
    fn refill(&mut self, now: Micros, share: QuotaShare) {
        let flowed = share.rate_per_s * (now - self.refilled_at).max(0) as f64 / SECOND as f64;
        // A share below one request still admits one once it has been refilled.
        let most = share.burst.max(1.0);
        (self.tokens, self.refilled_at) =
            ((self.tokens + flowed).min(most), self.refilled_at.max(now));
    }
}

/// The buckets of one proxy.
#[derive(Clone, Debug)]
pub(super) struct QuotaShares {
    buckets: BTreeMap<String, Bucket>,
    /// The last call was not answered by a total.
    last_call_failed: bool,
    /// A total has arrived since another owner was announced.
    has_total: bool,
    /// Shares bind until then; `None`: until a total arrives.
    binding_until: Option<Micros>,
    /// The burst is reduced until then.
    reduced_burst_until: Option<Micros>,
    /// Number of doubt periods so far.
    outage_count: u64,
    /// This proxy has known another owner before.
    had_owner: bool,
}

impl Default for QuotaShares {
    /// No owner is known; the first one that is announced counts as a new one.
    fn default() -> QuotaShares {
        let (settled, lean) = (Some(Micros::MIN), Some(Micros::MIN));
        QuotaShares {
            buckets: BTreeMap::new(),
            last_call_failed: false,
            has_total: false,
            binding_until: settled,
            reduced_burst_until: lean,
            outage_count: 0,
            had_owner: false,
        }
    }
}

impl QuotaShares {
    /// Another replica owns the counter, or the same one after losing its numbers.
    pub(super) fn handle_owner_changed(&mut self) {
        (self.has_total, self.binding_until, self.reduced_burst_until) = (false, None, None);
        self.outage_count += 1;
    }

    /// A counter call was answered by a total, or failed.
    pub(super) fn handle_call_result(&mut self, total: bool) {
        self.outage_count += u64::from(!total && !self.last_call_failed);
        self.last_call_failed = !total;
        self.has_total |= total;
    }

    /// The limiters' clock jumps ahead to `now` by this much: no time has passed.
    pub(super) fn handle_clock_jump(&mut self, now: Micros, by: Micros) {
        // A reduction that is over must not begin again because of the jump.
        let ahead = |at: Micros| {
            if at > now.saturating_sub(by) {
                at.saturating_add(by)
            } else {
                at
            }
        };
        let later = |at: Option<Micros>| at.map(ahead);
        (self.binding_until, self.reduced_burst_until) =
            (later(self.binding_until), later(self.reduced_burst_until));
        self.buckets
            .values_mut()
            .for_each(|bucket| bucket.refilled_at = (bucket.refilled_at + by).min(now));
    }

    /// Whether shares bind now.
    pub(super) fn is_binding(&mut self, now: Micros) -> bool {
        if self.binding_until.is_none() && self.has_total {
            // The first owner that a proxy hears of is not a change: nothing was admitted here by
            // another one's totals.
            let spans = if self.had_owner {
                (SETTLING_PERIOD, REDUCED_BURST_PERIOD)
            } else {
                (0, 0)
            };
            (self.binding_until, self.reduced_burst_until, self.had_owner) =
                (Some(now + spans.0), Some(now + spans.1), true);
        }
        self.last_call_failed || self.binding_until.is_none_or(|until| now < until)
    }

    /// Whether the burst is reduced now.
    pub(super) fn has_reduced_burst(&self, now: Micros) -> bool {
        self.reduced_burst_until.is_none_or(|until| now < until)
    }

    /// Charges a request to its tenant's bucket unless the share binds and is used up; returns then
    /// how long to wait.
    pub(super) fn try_charge(
        &mut self,
        now: Micros,
        tenant: &str,
        share: QuotaShare,
    ) -> Result<(), Micros> {
        let (binds, doubt) = (self.is_binding(now), self.outage_count);
        if !self.buckets.contains_key(tenant) {
            let bucket = Bucket {
                tokens: share.burst,
                refilled_at: now,
                outage: doubt,
            };
            self.buckets.insert(tenant.to_string(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(());
        };
        bucket.refill(now, share);
        if bucket.outage != doubt {
            (bucket.tokens, bucket.outage) = (bucket.tokens.min(share.burst), doubt);
        }
        if binds && bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / share.rate_per_s.max(1e-9) * SECOND as f64;
            return Err(wait as Micros);
        }
        bucket.tokens = (bucket.tokens - 1.0).max(0.0);
        Ok(())
    }

    /// Refunds a request that was charged and not admitted.
    pub(super) fn refund(&mut self, tenant: &str) {
        self.buckets
            .entry(tenant.to_string())
            .and_modify(|bucket| bucket.tokens += 1.0);
    }
}

#[cfg(test)]
mod tests;
