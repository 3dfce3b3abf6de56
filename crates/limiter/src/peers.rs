//! Notices between limiters as UDP datagrams, and who may send them.

use std::net::SocketAddr;

use streamarch::{CustomerId, Micros, OverQuotaNotice};

/// The limiters of the tier by their numbers, and how much has come that none of them can have meant.
#[derive(Debug)]
pub struct Peers {
    addresses: Vec<SocketAddr>,
    refused: u64,
    told: Micros,
}

impl Peers {
    /// Peers at these addresses, in the order of their numbers.
    pub fn new(addresses: Vec<SocketAddr>) -> Peers {
        Peers {
            addresses,
            refused: 0,
            told: Micros::MIN / 2,
        }
    }

    /// They are at these addresses from now on.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Where the limiter of this number is.
    pub fn address(&self, number: u32) -> Option<SocketAddr> {
        self.addresses.get(number as usize).copied()
    }

    /// Reads a datagram. Guards the verdicts against whoever else can reach the port: a notice keeps a customer out at
    /// this limiter for seconds. What is refused is counted.
    pub fn receive(&mut self, from: SocketAddr, bytes: &[u8], plans: usize) -> Option<OverQuotaNotice> {
        let notice = decode_notice(bytes, plans).filter(|_| self.addresses.contains(&from));
        self.refused += u64::from(notice.is_none());
        notice
    }

    /// How many datagrams were refused since this was last told, if some were and it is time to tell.
    pub fn take_rejected_count(&mut self, now: Micros, every: Micros) -> Option<u64> {
        if self.refused == 0 || now - self.told < every {
            return None;
        }
        self.told = now;
        Some(std::mem::take(&mut self.refused))
    }
}

/// A notice as bytes: two of plan, eight of customer.
pub fn encode_notice(notice: &OverQuotaNotice) -> Option<[u8; 10]> {
    let plan = u16::try_from(notice.plan).ok()?;
    let mut bytes = [0; 10];
    bytes[..2].copy_from_slice(&plan.to_be_bytes());
    bytes[2..].copy_from_slice(&notice.customer.0.to_be_bytes());
    Some(bytes)
}

/// Reads a notice; a datagram of another form, or that names a plan there is not, is none.
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
