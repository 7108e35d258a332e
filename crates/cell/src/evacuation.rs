//! Data centres that the operator has evacuated: no new tasks are started there.

use std::collections::BTreeSet;

use crate::id::DataCentre;

/// A change of one data centre's evacuation by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated; `false` lifts the evacuation.
    pub is_evacuated: bool,
}

/// The data centres that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    data_centres: BTreeSet<DataCentre>,
}

impl Evacuation {
    /// Applies a change; returns whether it had an effect.
    pub fn apply(&mut self, change: Change) -> bool {
        match change.is_evacuated {
            true => self.data_centres.insert(change.data_centre),
            false => self.data_centres.remove(&change.data_centre),
        }
    }

    /// Returns whether workers in a data centre get no new tasks. A worker without a known data centre may be in any of
    /// them.
    pub fn covers(&self, data_centre: Option<&DataCentre>) -> bool {
        match data_centre {
            Some(data_centre) => self.data_centres.contains(data_centre),
            None => !self.data_centres.is_empty(),
        }
    }

    /// Returns the data centres in order.
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
