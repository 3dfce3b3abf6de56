//! Over-quota notices between limiters: their encoding as UDP datagrams, and the check of the sender.

use std::net::SocketAddr;

use streamarch::{CustomerId, Micros, OverQuotaNotice};

/// The addresses of the tier's limiters by number, and a count of rejected datagrams.
#[derive(Debug)]
pub struct Peers {
    addresses: Vec<SocketAddr>,
    rejected: u64,
    last_reported_at: Micros,
}

impl Peers {
    /// Creates the set from the addresses in the order of the limiters' numbers.
    pub fn new(addresses: Vec<SocketAddr>) -> Peers {
        Peers {
            addresses,
            rejected: 0,
            last_reported_at: Micros::MIN / 2,
        }
    }

    /// Replaces the addresses.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// The address of the limiter with this number.
    pub fn address(&self, number: u32) -> Option<SocketAddr> {
        self.addresses.get(number as usize).copied()
    }

    /// Decodes a datagram; `plans` is the number of known plans. Returns `None`, and counts a rejection, if the datagram
    /// is not a valid notice or its sender is not a limiter of the tier: a notice blocks a customer at this limiter for
    /// seconds, so other hosts that can reach the port must not be able to send one.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        plans: usize,
    ) -> Option<OverQuotaNotice> {
        let notice = decode_notice(bytes, plans).filter(|_| self.addresses.contains(&from));
        self.rejected += u64::from(notice.is_none());
        notice
    }

    /// The number of datagrams rejected since the last report, and resets it; `None` if there were none or the last report
    /// was less than `interval` ago.
    pub fn take_rejected_count(&mut self, now: Micros, interval: Micros) -> Option<u64> {
        if self.rejected == 0 || now - self.last_reported_at < interval {
            return None;
        }
        self.last_reported_at = now;
        Some(std::mem::take(&mut self.rejected))
    }
}

/// Encodes a notice, big-endian: two bytes of plan number, then eight bytes of customer id. `None` if the plan's number
/// does not fit into two bytes.
pub fn encode_notice(notice: &OverQuotaNotice) -> Option<[u8; 10]> {
    let plan = u16::try_from(notice.plan).ok()?;
    let mut bytes = [0; 10];
    bytes[..2].copy_from_slice(&plan.to_be_bytes());
    bytes[2..].copy_from_slice(&notice.customer.0.to_be_bytes());
    Some(bytes)
}

/// Decodes a notice. `None` if the length is wrong or the plan's number is not below `plans`.
pub fn decode_notice(bytes: &[u8], plans: usize) -> Option<OverQuotaNotice> {
    let (plan, customer) = bytes.split_first_chunk::<2>()?;
    let customer = u64::from_be_bytes(customer.try_into().ok()?);
    let plan = usize::from(u16::from_be_bytes(*plan));
    (plan < plans).then_some(OverQuotaNotice {
        plan,
        customer: CustomerId(customer),
    })
}

#[cfg(test)]
mod tests;
