//! Arithmetic on resources never wraps and never goes below zero.

use fulmarpier_state::{
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    }, //
};
use proptest::prelude::*;
use rstest::rstest;

fn amount() -> impl Strategy<Value = Resources> {
    let cpu = prop_oneof![any::<u32>(), 0_u32..100_000];
    let memory = prop_oneof![any::<u64>(), 0_u64..1 << 40];
    (cpu, memory, any::<u16>())
        .prop_map(|(cpu, memory, acc)| Resources::new(Millicores(cpu), Bytes(memory), acc))
}

fn wide(amount: &Resources) -> [u128; 3] {
    let Resources {
        cpu,
        memory,
        accelerators,
    } = amount;
    [cpu.0.into(), memory.0.into(), (*accelerators).into()]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_024)
    })]

    #[test]
    fn addition_is_exact_or_refused(a in amount(), b in amount()) {
        let exact: Vec<u128> = wide(&a).iter().zip(wide(&b)).map(|(a, b)| a + b).collect();
        match a.checked_add(b) {
            Some(sum) => {
                prop_assert_eq!(wide(&sum).to_vec(), exact);
                prop_assert_eq!(sum.checked_sub(b), Some(a));
                prop_assert!(a.fits(&sum) && b.fits(&sum));
            }
            None => {
                let over = exact[0] > u32::MAX.into()
                    || exact[1] > u64::MAX.into()
                    || exact[2] > u16::MAX.into();
                prop_assert!(over);
            }
        }
    }

    #[test]
    fn what_fits_can_be_subtracted(a in amount(), b in amount()) {
        prop_assert_eq!(a.checked_sub(b).is_some(), b.fits(&a));
        prop_assert!(a.fits(&a.max(b)) && b.fits(&a.max(b)));
    }

    #[test]
    fn multiplication_is_repeated_addition(a in amount(), count in 0_u32..6) {
        let sum = (0..count).try_fold(Resources::ZERO, |sum, _| sum.checked_add(a));
        prop_assert_eq!(a.checked_mul(count), sum);
    }
}

/// A gang of many tasks without accelerators used to overflow the count of accelerators.
#[test]
fn many_times_no_accelerators_is_none() {
    let size = Resources::new(Millicores(1), Bytes(1), 0);
    let all = size.checked_mul(100_000).expect("it fits");
    assert_eq!(all.accelerators, 0);
    let with = Resources::new(Millicores(1), Bytes(1), 1);
    assert_eq!(with.checked_mul(100_000), None);
}

#[rstest]
#[case(
    Resources::new(Millicores(500), Bytes::from_mib(512), 0),
    "500m cpu, 512MiB"
)]
#[case(
    Resources::new(Millicores(2_000), Bytes::from_gib(4), 1),
    "2 cpu, 4GiB, 1 acc"
)]
fn amounts_are_shown_with_units(#[case] amount: Resources, #[case] shown: &str) {
    assert_eq!(amount.to_string(), shown);
}
