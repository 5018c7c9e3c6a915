//! Settings of placement by coordinators.

use serde::Deserialize;
use zinniaport_core::placement::DataCentreParts;

/// Settings of placement by coordinators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Whether services are divided into parts by data centre.
    pub data_centre_parts: DataCentreParts,
}
