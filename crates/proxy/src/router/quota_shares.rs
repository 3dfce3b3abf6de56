//! Local quota shares: while the shared counter's totals are unreliable, each proxy limits a tenant
//! by a token bucket that holds its even share of the quota.
//!
//! The buckets are refilled at all times and charged for every admitted request. They are enforced
//! ("bind") only while counter calls fail, and for some time after another replica has taken over
//! the counter. The number of requests that all proxies admit in that time is bounded by the sum of
//! their buckets, however often the counter is lost, emptied or moved: see
//! `docs/control-hardening.md`.

use std::collections::BTreeMap;

use streamarch::Micros;

use super::SECOND;

/// Shares bind for this long after the first total from a new owner. By then the owner's totals of
/// the current window and of the one before are complete, since every proxy adds to them from its
/// own first total on.
const SETTLING_PERIOD: Micros = 2 * SECOND;
/// After the first total from a new owner, the burst is reduced for the length of the window over
/// which quotas are bounded: the tenant may have used a whole burst under the previous owner.
const REDUCED_BURST_PERIOD: Micros = 5 * SECOND;
/// The part of a tenant's burst that the buckets of all proxies hold together...
const BURST_SHARE: f64 = 0.2;
/// ...or the part of the permitted overshoot (`quota_slack`), if that is more.
const SLACK_SHARE: f64 = 0.3;

/// The parameters of a tenant's token bucket at one proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaShare {
    /// Refill rate in requests a second.
    rate_per_s: f64,
    /// Capacity in requests.
    burst: f64,
}

impl QuotaShare {
    /// The share of one limiter if the quota is divided by `divisor`. `slack`: the number of
    /// requests by which a tenant may exceed its quota.
    pub(super) fn new(rate_per_s: f64, burst: f64, slack: f64, divisor: u32) -> QuotaShare {
        let divisor = f64::from(divisor.max(1));
        let total_burst = (BURST_SHARE * burst).max((SLACK_SHARE * slack).min(burst));
        QuotaShare {
            rate_per_s: rate_per_s / divisor,
            burst: total_burst / divisor,
        }
    }
}

/// A tenant's token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Micros,
    /// The outage for which the bucket was last capped to its burst, by number.
    outage: u64,
}

impl Bucket {
    fn refill(&mut self, now: Micros, share: QuotaShare) {
        let refilled = share.rate_per_s * (now - self.refilled_at).max(0) as f64 / SECOND as f64;
        // A share whose burst is below one request still admits one after it has accumulated.
        let capacity = share.burst.max(1.0);
        (self.tokens, self.refilled_at) = (
            (self.tokens + refilled).min(capacity),
            self.refilled_at.max(now),
        );
    }
}

/// The buckets of one proxy, and whether they bind.
///
/// An outage begins whenever counter calls start to fail, and when the counter changes its owner.
#[derive(Clone, Debug)]
pub(super) struct QuotaShares {
    buckets: BTreeMap<String, Bucket>,
    /// The last counter call returned no total.
    last_call_failed: bool,
    /// A total has arrived since the present owner was announced.
    has_total: bool,
    /// Shares bind until then. `None`: no total has arrived from the present owner, so that the end
    /// is not known yet.
    binding_until: Option<Micros>,
    /// The burst is reduced until then; `None` as for `binding_until`.
    reduced_burst_until: Option<Micros>,
    /// Number of outages so far.
    outage_count: u64,
    /// This proxy has received totals from an owner before.
    had_owner: bool,
}

impl Default for QuotaShares {
    /// No owner is known; the first one that is announced counts as a new one.
    fn default() -> QuotaShares {
        let (binding_until, reduced_burst_until) = (Some(Micros::MIN), Some(Micros::MIN));
        QuotaShares {
            buckets: BTreeMap::new(),
            last_call_failed: false,
            has_total: false,
            binding_until,
            reduced_burst_until,
            outage_count: 0,
            had_owner: false,
        }
    }
}

impl QuotaShares {
    /// Another replica owns the counter, or the same one after it lost its totals.
    pub(super) fn handle_owner_changed(&mut self) {
        (self.has_total, self.binding_until, self.reduced_burst_until) = (false, None, None);
        self.outage_count += 1;
    }

    /// A counter call succeeded with a total, or failed.
    pub(super) fn handle_call_result(&mut self, is_success: bool) {
        self.outage_count += u64::from(!is_success && !self.last_call_failed);
        self.last_call_failed = !is_success;
        self.has_total |= is_success;
    }

    /// The limiters' clock jumps ahead by `jump` to `now`: no time has passed.
    pub(super) fn handle_clock_jump(&mut self, now: Micros, jump: Micros) {
        // A period that is over must not begin again because of the jump.
        let shift = |end: Micros| {
            if end > now.saturating_sub(jump) {
                end.saturating_add(jump)
            } else {
                end
            }
        };
        let shift_end = |end: Option<Micros>| end.map(shift);
        (self.binding_until, self.reduced_burst_until) = (
            shift_end(self.binding_until),
            shift_end(self.reduced_burst_until),
        );
        self.buckets
            .values_mut()
            .for_each(|bucket| bucket.refilled_at = (bucket.refilled_at + jump).min(now));
    }

    /// Whether shares currently bind.
    pub(super) fn is_binding(&mut self, now: Micros) -> bool {
        if self.binding_until.is_none() && self.has_total {
            // The first owner that a proxy learns of is not a change: this proxy admitted nothing by
            // another owner's totals.
            let periods = if self.had_owner {
                (SETTLING_PERIOD, REDUCED_BURST_PERIOD)
            } else {
                (0, 0)
            };
            (self.binding_until, self.reduced_burst_until, self.had_owner) =
                (Some(now + periods.0), Some(now + periods.1), true);
        }
        self.last_call_failed || self.binding_until.is_none_or(|until| now < until)
    }

    /// Whether the burst is currently reduced.
    pub(super) fn has_reduced_burst(&self, now: Micros) -> bool {
        self.reduced_burst_until.is_none_or(|until| now < until)
    }

    /// Charges a request to its tenant's bucket.
    ///
    /// # Errors
    /// The share binds and is exhausted: the time until the next request may be admitted.
    pub(super) fn try_charge(
        &mut self,
        now: Micros,
        tenant: &str,
        share: QuotaShare,
    ) -> Result<(), Micros> {
        let (is_binding, outage) = (self.is_binding(now), self.outage_count);
        if !self.buckets.contains_key(tenant) {
            let bucket = Bucket {
                tokens: share.burst,
                refilled_at: now,
                outage,
            };
            self.buckets.insert(tenant.to_string(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(());
        };
        bucket.refill(now, share);
        if bucket.outage != outage {
            (bucket.tokens, bucket.outage) = (bucket.tokens.min(share.burst), outage);
        }
        if is_binding && bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / share.rate_per_s.max(1e-9) * SECOND as f64;
            return Err(wait as Micros);
        }
        bucket.tokens = (bucket.tokens - 1.0).max(0.0);
        Ok(())
    }

    /// Refunds the charge for a request that was not admitted.
    pub(super) fn refund(&mut self, tenant: &str) {
        self.buckets
            .entry(tenant.to_string())
            .and_modify(|bucket| bucket.tokens += 1.0);
    }
}

#[cfg(test)]
mod tests;
