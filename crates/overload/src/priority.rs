//! The shedding order of requests, the same at every limiter.

/// Number of tiers. Higher tier numbers count as the last tier.
pub const TIERS: u32 = 4;
/// Number of bands: one for each tier and each rank of a route within it.
pub const BANDS: usize = (TIERS * TIERS) as usize;

/// The band of a request: its tier, and within the tier the rank of its route. The two differ where
/// the tier of a tenant replaces that of the route.
pub fn band(tier: u32, rank: u32) -> usize {
    (tier.min(TIERS - 1) * TIERS + rank.min(TIERS - 1)) as usize
}

/// The rank of a request in the shedding order, from 0 (rejected last) to below 1: by band, and
/// within the band by a hash of its id. All limiters compute the same rank for a request; a
/// retry under a new id gets a new one.
pub fn shed_rank(band: usize, id: &str) -> f64 {
    // FNV-1a with a finalizer, which spreads ids that differ only in their last character.
    let mut hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let rank_in_band = ((hash ^ (hash >> 32)) >> 11) as f64 / (1_u64 << 53) as f64;
    (band as f64 + rank_in_band) / BANDS as f64
}

/// The threshold that admits `admitted_rate` requests per second of the rates offered in each band.
pub fn threshold(offered: &[f64; BANDS], admitted_rate: f64) -> f64 {
    let mut remaining = admitted_rate;
    for (band, offered) in offered
        .iter()
        .enumerate()
        .filter(|(_, offered)| **offered > 0.0)
    {
        if remaining < *offered {
            return (band as f64 + (remaining / offered).max(0.0)) / BANDS as f64;
        }
        remaining -= offered;
    }
    1.0
}

#[cfg(test)]
mod tests;
