//! Who may give commands.

use fulmarpier_state::name::Name;

use crate::settings::{
    form::{
        Form,
        Section, //
    },
    value::Token,
};

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name under which changes are recorded.
    pub name: Name,
    /// The secret that the operator sends.
    pub token: Token,
}

impl Form for Operator {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.required("name");
        let token = section.required("token");
        Some(Self {
            name: name?,
            token: token?,
        })
    }
}
