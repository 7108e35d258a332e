//! The store: a topic of claims.

use fulmarpier_cell::record::Claim;

use super::{
    Call, World,
    network::{
        Reply,
        STORE, //
    },
};

#[derive(Clone, Debug)]
pub(super) enum Operation {
    Read,
    /// Appends a claim if the topic ends there.
    Append(Claim, u64),
}

#[derive(Debug, Default)]
pub(super) struct Store {
    claims: Vec<Claim>,
}

impl Store {
    fn end(&self) -> u64 {
        u64::try_from(self.claims.len()).unwrap()
    }

    fn run(&mut self, operation: Operation) -> Reply {
        match operation {
            Operation::Read => Reply::Newest(self.claims.last().cloned(), self.end()),
            Operation::Append(claim, end) => {
                let is_expected = end == self.end();
                if is_expected {
                    self.claims.push(claim);
                }
                Reply::Appended(is_expected.then(|| self.end()))
            }
        }
    }
}

impl World {
    pub(super) fn receive_operation(&mut self, call: Call, operation: Operation) {
        let text = self.is_traced.then(|| format!("{operation:?}"));
        let reply = self.store.run(operation);
        if let Some(text) = text
            && matches!(reply, Reply::Appended(Some(_)))
        {
            self.note(|| format!("store takes {text}"));
        }
        self.answer(call, STORE, reply);
    }
}
