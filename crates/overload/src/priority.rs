//! The priority order of requests, the same at every limiter.

/// Number of tiers; lower ones count as the last.
pub const TIERS: u32 = 4;
/// Number of bands: a tier, and within it the route's own rank.
pub const BANDS: usize = (TIERS * TIERS) as usize;

/// The band of a request: its tier, and within the tier its route's own rank, which differs where a
/// tenant's tier replaces the route's.
pub fn band(tier: u32, rank: u32) -> usize {
    (tier.min(TIERS - 1) * TIERS + rank.min(TIERS - 1)) as usize
}

/// The position in the order, from 0 (rejected last) to below 1: by band, then by a hash of the
/// request's id. The same request has the same position at every limiter, and a retry under a new
/// id has a new one.
pub fn position(band: usize, id: &str) -> f64 {
    // FNV-1a with a finalizer: ids that differ in their last character only lie far apart.
    let mut hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let within = ((hash ^ (hash >> 32)) >> 11) as f64 / (1_u64 << 53) as f64;
    (band as f64 + within) / BANDS as f64
}

/// The threshold that admits `kept` requests a second of the load offered in each band.
pub fn threshold(offered: &[f64; BANDS], kept: f64) -> f64 {
    let mut left = kept;
    for (band, offered) in offered
        .iter()
        .enumerate()
        .filter(|(_, offered)| **offered > 0.0)
    {
        if left < *offered {
            return (band as f64 + (left / offered).max(0.0)) / BANDS as f64;
        }
        left -= offered;
    }
    1.0
}

#[cfg(test)]
mod tests;
