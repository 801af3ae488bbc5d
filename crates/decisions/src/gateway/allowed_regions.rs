//! The regions in which a request may be served.

use std::fmt;

use yuccapass_types::RegionId;

use super::configuration::Organisation;
use super::route::Route;

/// The regions in which a request may be served, and its prompt cached and stored.
///
/// Routes and organisations each may name regions; a region must be among those of both. One that
/// names none allows all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    // Sorted; `None` if all regions are allowed.
    regions: Option<Vec<RegionId>>,
}

impl AllowedRegions {
    /// Creates the set of the regions that are in each list which is not empty. The lists are sorted.
    pub fn new<'a>(lists: impl IntoIterator<Item = &'a [RegionId]>) -> Self {
        let named = lists.into_iter().filter(|list| !list.is_empty());
        let regions = named.fold(None, |common: Option<Vec<RegionId>>, list| {
            Some(match common {
                None => list.to_vec(),
                Some(mut common) => {
                    common.retain(|region| list.binary_search(region).is_ok());
                    common
                }
            })
        });
        Self { regions }
    }

    /// Returns the regions in which a request of an organisation on a route may be served.
    pub fn of_request(route: &Route, organisation: Option<&Organisation>) -> Self {
        let of_organisation = organisation.map(|known| &known.allowed_regions[..]);
        Self::new([&route.allowed_regions[..]].into_iter().chain(of_organisation))
    }

    /// Returns whether only some regions are allowed.
    pub fn is_bound(&self) -> bool {
        self.regions.is_some()
    }

    /// Returns whether a region is allowed. One that is not known (`None`) is allowed only if all are.
    pub fn contains(&self, region: Option<&RegionId>) -> bool {
        let Some(regions) = &self.regions else { return true };
        region.is_some_and(|region| regions.binary_search(region).is_ok())
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.regions else { return f.write_str("all") };
        let names: Vec<&str> = regions.iter().map(RegionId::as_str).collect();
        f.write_str(&names.join(","))
    }
}
