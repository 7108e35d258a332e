//! Quantities as text and in both kinds of formats.

use fulmarpier_state::unit::{
    Bandwidth,
    Bytes,
    Millicores,
    ParseError,
    Span, //
};
use proptest::prelude::*;
use rstest::rstest;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn text_reads_back_as_the_same_quantity(bits in any::<u64>(), shift in 0_u32..64) {
        let number = bits >> shift;
        let cpu = Millicores(u32::try_from(number % (1 << 32)).expect("below 2^32"));
        prop_assert_eq!(cpu.to_string().parse(), Ok(cpu));
        prop_assert_eq!(Bytes(number).to_string().parse(), Ok(Bytes(number)));
        let link = Bandwidth(number);
        prop_assert_eq!(link.to_string().parse(), Ok(link));
        let span = Span::from_micros(number);
        prop_assert_eq!(span.to_string().parse(), Ok(span));
    }

    #[test]
    fn json_holds_the_text(number in any::<u32>()) {
        let size = Bytes(u64::from(number));
        let json = serde_json::to_string(&size).expect("a string");
        prop_assert_eq!(&json, &format!("\"{size}\""));
        prop_assert_eq!(serde_json::from_str::<Bytes>(&json).expect("the same"), size);
    }

    #[test]
    fn what_is_accepted_reads_back(text in "[0-9]{0,24}(m|s|d|B|KiB|TiB|é| )?") {
        if let Ok(cpu) = text.parse::<Millicores>() {
            prop_assert_eq!(cpu.to_string().parse(), Ok(cpu));
        }
        if let Ok(size) = text.parse::<Bytes>() {
            prop_assert_eq!(size.to_string().parse(), Ok(size));
        }
        if let Ok(span) = text.parse::<Span>() {
            prop_assert_eq!(span.to_string().parse(), Ok(span));
        }
    }
}

#[rstest]
#[case("2", 2_000, "2")]
#[case("1500m", 1_500, "1500m")]
#[case("2000m", 2_000, "2")]
#[case(" 4 ", 4_000, "4")]
#[case("0", 0, "0")]
fn cores_are_read_and_shown(#[case] text: &str, #[case] value: u32, #[case] shown: &str) {
    let cpu: Millicores = text.parse().expect("valid");
    assert_eq!((cpu.get(), cpu.to_string().as_str()), (value, shown));
}

#[rstest]
#[case("64GiB", 64 << 30, "64GiB")]
#[case("1024 MiB", 1 << 30, "1GiB")]
#[case("1500B", 1_500, "1500B")]
#[case("0B", 0, "0B")]
fn sizes_are_read_and_shown(#[case] text: &str, #[case] value: u64, #[case] shown: &str) {
    let size: Bytes = text.parse().expect("valid");
    assert_eq!((size.get(), size.to_string().as_str()), (value, shown));
}

#[rstest]
#[case("90s", 90_000_000, "90s")]
#[case("120s", 120_000_000, "2m")]
#[case("250ms", 250_000, "250ms")]
#[case("1d", 86_400_000_000, "1d")]
fn spans_are_read_and_shown(#[case] text: &str, #[case] value: u64, #[case] shown: &str) {
    let span: Span = text.parse().expect("valid");
    assert_eq!(
        (span.as_micros(), span.to_string().as_str()),
        (value, shown)
    );
}

#[rstest]
#[case::no_number("GiB")]
#[case::empty("")]
#[case::negative("-1GiB")]
#[case::fraction("1.5GiB")]
fn a_quantity_begins_with_a_whole_number(#[case] text: &str) {
    let error = text.parse::<Bytes>().expect_err("not a quantity");
    assert!(matches!(
        error,
        ParseError::Number { .. } | ParseError::Unit { .. }
    ));
}

#[test]
fn errors_say_what_is_known() {
    let unit = "4GB"
        .parse::<Bytes>()
        .expect_err("decimal units are not known");
    insta::assert_snapshot!(unit, @"unknown unit `GB`; known are B, KiB, MiB, GiB, TiB");
    let large = "99999999999TiB"
        .parse::<Bytes>()
        .expect_err("beyond 64 bits");
    insta::assert_snapshot!(large, @"`99999999999TiB` is too large");
    let cores = "4294968".parse::<Millicores>().expect_err("beyond 32 bits");
    insta::assert_snapshot!(cores, @"`4294968` is too large");
}
