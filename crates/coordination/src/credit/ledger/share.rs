//! Dividing slots among gates.

/// The part of an even share that a gate gets before demand decides, as a divisor.
const FLOOR: u64 = 2;

/// Divides `capacity` slots by what is wanted, so that nobody gets more than it wants.
///
/// Where there is enough, everyone gets what it wants. Otherwise each first gets up to half an even
/// share, so that a busy gate can't starve a quiet one, and the rest is divided in proportion to what
/// is still wanted (largest remainder; ties go to the earlier). The parts add up to the capacity.
pub(super) fn divide(capacity: u64, wanted: &[u64]) -> Vec<u64> {
    let total: u64 = wanted.iter().sum();
    if total <= capacity {
        return wanted.to_vec();
    }
    let count = u64::try_from(wanted.len()).unwrap_or(u64::MAX);
    let floor = capacity / count / FLOOR;
    let mut parts: Vec<u64> = wanted.iter().map(|want| floor.min(*want)).collect();
    let rest = capacity - parts.iter().sum::<u64>();
    let missing: Vec<u64> = wanted
        .iter()
        .zip(&parts)
        .map(|(want, part)| want - part)
        .collect();
    for (part, more) in parts.iter_mut().zip(in_proportion(rest, &missing)) {
        *part += more;
    }
    parts
}

/// Divides `rest` in proportion to `missing`, whose sum is larger.
fn in_proportion(rest: u64, missing: &[u64]) -> Vec<u64> {
    let sum: u64 = missing.iter().sum();
    let mut parts: Vec<u64> = missing.iter().map(|want| want * rest / sum).collect();
    let mut order: Vec<usize> = (0..missing.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(missing[index] * rest % sum));
    let left = rest - parts.iter().sum::<u64>();
    for &index in order
        .iter()
        .take(usize::try_from(left).unwrap_or(usize::MAX))
    {
        parts[index] += 1;
    }
    parts
}
