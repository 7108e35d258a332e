//! Data centres that the operator has evacuated: nothing new is started there.

use std::collections::BTreeSet;

use crate::id::DataCentre;

/// What the operator says of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated from now on, or taken back.
    pub is_evacuated: bool,
}

/// The data centres that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    data_centres: BTreeSet<DataCentre>,
}

impl Evacuation {
    /// Takes a change in; returns whether it is news.
    pub fn apply(&mut self, change: Change) -> bool {
        match change.is_evacuated {
            true => self.data_centres.insert(change.data_centre),
            false => self.data_centres.remove(&change.data_centre),
        }
    }

    /// Returns whether workers in a data centre get nothing new; one that says of none may stand in any.
    pub fn covers(&self, data_centre: Option<&DataCentre>) -> bool {
        match data_centre {
            Some(data_centre) => self.data_centres.contains(data_centre),
            None => !self.data_centres.is_empty(),
        }
    }

    /// Returns the data centres, in order.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.data_centres.iter()
    }
}

impl FromIterator<DataCentre> for Evacuation {
    fn from_iter<T: IntoIterator<Item = DataCentre>>(data_centres: T) -> Self {
        Self {
            data_centres: data_centres.into_iter().collect(),
        }
    }
}
