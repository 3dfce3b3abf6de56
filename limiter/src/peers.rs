//! Notices between limiters as UDP datagrams.

use streamarch::{CustomerId, OverNotice};

/// A notice as bytes: two of plan, eight of customer.
pub fn encode(notice: &OverNotice) -> Option<[u8; 10]> {
    let plan = u16::try_from(notice.plan).ok()?;
    let mut bytes = [0; 10];
    bytes[..2].copy_from_slice(&plan.to_be_bytes());
    bytes[2..].copy_from_slice(&notice.customer.0.to_be_bytes());
    Some(bytes)
}

/// Reads a notice; a datagram of another form, or that names a plan there is not, is none.
pub fn decode(bytes: &[u8], plans: usize) -> Option<OverNotice> {
    let (plan, customer) = bytes.split_first_chunk::<2>()?;
    let customer = u64::from_be_bytes(customer.try_into().ok()?);
    let plan = usize::from(u16::from_be_bytes(*plan));
    (plan < plans).then_some(OverNotice { plan, customer: CustomerId(customer) })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_notice_survives_the_wire_and_odd_datagrams_are_none() {
        let notice = OverNotice { customer: CustomerId(0x1_2345_6789), plan: 2 };
        let bytes = encode(&notice).unwrap();
        assert_eq!(decode(&bytes, 3), Some(notice));
        assert_eq!(decode(&bytes, 2), None);
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut], 3), None);
        }
        assert_eq!(decode(&[&bytes[..], b"x"].concat(), 3), None);
    }
}
