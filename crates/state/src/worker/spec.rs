//! What a worker offers and where it stands.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id::{
        DataCentreId,
        RackId,
        RegionId,
        WorkerId, //
    },
    resource::Resources, //
};

/// A worker's shape and place, which stay the same for as long as it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Spec {
    /// The worker's id.
    pub id: WorkerId,
    /// All that tasks may use of it.
    pub capacity: Resources,
    /// The region it is in.
    pub region: RegionId,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// The rack it is in.
    pub rack: RackId,
}

impl Spec {
    /// Makes a worker of a shape, in the first rack of the first data centre.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_state::id::{DataCentreId, RackId, WorkerId};
    /// use fulmarpier_state::resource::Resources;
    /// use fulmarpier_state::unit::{Bytes, Millicores};
    /// use fulmarpier_state::worker;
    ///
    /// let capacity = Resources::new(Millicores::from_cores(16), Bytes::from_gib(32), 0);
    /// let spec = worker::Spec::new(WorkerId(7), capacity).place(DataCentreId(1), RackId(3));
    /// assert_eq!(spec.rack, RackId(3));
    /// ```
    ///
    /// See also [`Self::place`] and [`Self::region`].
    pub const fn new(id: WorkerId, capacity: Resources) -> Self {
        Self {
            id,
            capacity,
            region: RegionId(0),
            data_centre: DataCentreId(0),
            rack: RackId(0),
        }
    }

    /// Sets the data centre and the rack.
    ///
    /// See also [`Self::region`].
    #[must_use]
    pub const fn place(mut self, data_centre: DataCentreId, rack: RackId) -> Self {
        self.data_centre = data_centre;
        self.rack = rack;
        self
    }

    /// Sets the region.
    ///
    /// See also [`Self::place`].
    #[must_use]
    pub const fn region(mut self, region: RegionId) -> Self {
        self.region = region;
        self
    }
}
