//! Refusals inside replies.

use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};

use super::{
    Error,
    scalar, //
    sched_capnp::refusal,
};

pub(super) fn read(reader: refusal::Reader<'_>) -> Result<Refusal, Error> {
    let word = scalar::read_text("refusal.reason", reader.get_reason()?)?;
    let reason = Reason::ALL
        .iter()
        .copied()
        .find(|reason| reason.word() == word)
        .ok_or(Error::Word {
            field: "refusal.reason",
            value: word,
        })?;
    Ok(Refusal {
        reason,
        detail: scalar::read_text("refusal.detail", reader.get_detail()?)?,
        outcome: scalar::read_outcome(reader.get_outcome()?),
        retry_after: scalar::read_span(reader.get_retry_after_micros()),
    })
}

pub(super) fn write(refusal: &Refusal, mut builder: refusal::Builder<'_>) {
    builder.set_reason(refusal.reason.word());
    builder.set_detail(refusal.detail.as_str());
    builder.set_outcome(scalar::write_outcome(refusal.outcome));
    builder.set_retry_after_micros(scalar::write_span(refusal.retry_after));
}
