//! The operators' configuration: one document with a revision.

use std::net::SocketAddr;

use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;
use yuccapass_types::{
    Bytes, KeyHash, OrganisationId, RegionId, Revision, ServiceId, SortedMap, Tokens,
    TokensPerSecond, ZoneId,
};

use super::route::{Priority, Route};

/// What the names of shared cache partitions begin with, to tell them from ids of organisations.
const SHARED_PARTITION_PREFIX: &str = "-";

/// Hexadecimal digits of the digest in such a name.
const PARTITION_DIGITS: usize = 24;

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: Bytes,
    /// Maximum size of a request body.
    pub max_body_bytes: Bytes,
    /// Maximum time from the first byte of a request head to its last.
    pub header_timeout_ms: u64,
    /// Maximum time between two requests on a connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration was read: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            max_header_bytes: Bytes::new(16 << 10),
            max_body_bytes: Bytes::new(4 << 20),
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A store of prompt parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartStore {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Tokens that fit into it.
    pub capacity: Tokens,
    /// Rate at which its link carries parts inside its zone.
    pub link_rate: TokensPerSecond,
    /// Maximum number of concurrent polls for changes, from all nodes together.
    pub max_calls: u32,
}

/// The settings of a service, which runs on several endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Requests a second that a cold endpoint can handle; zero if the service has no cold phase.
    pub cold_requests_per_s: f64,
    /// The store of prompt parts that this service is, if it is one that never evicts parts itself.
    pub store: Option<PartStore>,
    /// The engines that its endpoints are, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// The model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit into the memory that its running requests and its cached parts share.
    pub capacity: Tokens,
}

/// The settings of an organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Priority of its requests. Takes precedence over the priority of the route.
    pub priority: Option<Priority>,
    /// Whether its cached prompt parts are kept apart from those of others.
    pub is_isolated: bool,
    /// The regions in which its requests may be served; all if empty. Sorted.
    pub allowed_regions: Vec<RegionId>,
}

/// The result of looking up the API key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict<'a> {
    /// The route needs no key, or the configuration has no list of organisations.
    NotRequired,
    /// The key belongs to an organisation.
    Known(&'a OrganisationId, &'a Organisation),
    /// The key is missing or belongs to no organisation.
    Unknown,
}

/// The error for a configuration that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct InvalidConfiguration {
    problem: String,
}

/// A checked configuration, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Configuration {
    revision: Revision,
    routes: SortedMap<SmolStr, Vec<Route>>,
    services: SortedMap<ServiceId, Service>,
    // `None` if requests need no keys. With an empty list, no key is known.
    organisations: Option<SortedMap<OrganisationId, Organisation>>,
    keys: SortedMap<KeyHash, OrganisationId>,
    limits: CallerLimits,
    is_region_bound: bool,
    has_bound_prompts: bool,
    // The cache partition of all organisations that are not isolated, while others are.
    shared_partition: Option<SmolStr>,
}

impl Configuration {
    /// Checks and indexes a configuration. Without a list of organisations (`None`) requests need no keys; with an
    /// empty one, only public routes are served.
    ///
    /// # Errors
    ///
    /// Fails if a route has no service with a weight above zero, a prefix does not begin and end
    /// with a slash, or two organisations have the same key.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: SortedMap<ServiceId, Service>,
        organisations: Option<SortedMap<OrganisationId, Organisation>>,
        limits: CallerLimits,
    ) -> Result<Self, InvalidConfiguration> {
        let names_regions = |allowed: &[RegionId]| !allowed.is_empty();
        let is_bound = |route: &&Route| names_regions(&route.allowed_regions);
        let has_bound_organisation = organisations
            .iter()
            .flat_map(SortedMap::values)
            .any(|known| names_regions(&known.allowed_regions));
        let is_region_bound = has_bound_organisation || routes.iter().any(|route| is_bound(&route));
        let has_bound_prompts =
            has_bound_organisation || routes.iter().filter(is_bound).any(|route| route.is_sticky);
        let mut by_host: SortedMap<SmolStr, Vec<Route>> = SortedMap::new();
        for route in routes {
            check_route(&route)?;
            by_host.get_or_insert_with(route.host.clone(), Vec::new).push(route);
        }
        // `route` takes the first match, which must be the longest prefix.
        by_host
            .values_mut()
            .for_each(|routes| routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len())));
        let isolated = organisations
            .iter()
            .flat_map(SortedMap::iter)
            .filter_map(|(id, known)| known.is_isolated.then_some(id));
        let shared_partition = shared_partition(isolated);
        let keys = organisations.as_ref().map(index_keys).transpose()?.unwrap_or_default();
        Ok(Self {
            revision,
            routes: by_host,
            services,
            organisations,
            keys,
            limits,
            is_region_bound,
            has_bound_prompts,
            shared_partition,
        })
    }

    /// Returns the revision of the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns whether some routes or organisations are served in certain regions only.
    pub fn is_region_bound(&self) -> bool {
        self.is_region_bound
    }

    /// Returns whether some prompts may be cached in certain regions only. Those of other requests may share
    /// parts with them.
    pub fn has_bound_prompts(&self) -> bool {
        self.has_bound_prompts
    }

    /// Returns the routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Returns the services by id.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Service)> {
        self.services.iter()
    }

    /// Returns the settings of a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the settings of an organisation.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.organisations.as_ref()?.get(id)
    }

    /// Returns what keeps the cached prompt parts of an organisation, or of requests without one, apart from those of
    /// others; `None` if there is no need.
    ///
    /// An isolated organisation has its own partition, which is its id. The others share one that differs for each
    /// set of isolated organisations: what one of these has cached before it was isolated is found by nobody.
    pub fn cache_partition<'a>(
        &'a self,
        organisation: Option<&'a OrganisationId>,
    ) -> Option<&'a str> {
        let isolated = organisation
            .filter(|id| self.organisation(id).is_some_and(|known| known.is_isolated))
            .map(OrganisationId::as_str);
        isolated.or(self.shared_partition.as_deref())
    }

    /// Returns the stores of prompt parts.
    pub fn stores(&self) -> impl Iterator<Item = (&ServiceId, &PartStore)> {
        self.services.iter().filter_map(|(id, service)| Some((id, service.store.as_ref()?)))
    }

    /// Returns the route with the longest prefix that matches a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = SmolStr::new(host.to_ascii_lowercase());
        self.routes.get(&host)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Looks up the API key of a request.
    pub fn verify_key(&self, route: &Route, key: Option<KeyHash>) -> KeyVerdict<'_> {
        let Some(organisations) = self.organisations.as_ref().filter(|_| !route.is_public) else {
            return KeyVerdict::NotRequired;
        };
        let found = key
            .and_then(|key| self.keys.get(&key))
            .and_then(|id| Some((id, organisations.get(id)?)));
        match found {
            Some((id, organisation)) => KeyVerdict::Known(id, organisation),
            None => KeyVerdict::Unknown,
        }
    }
}

/// Returns the name of the cache partition that all but these organisations share.
fn shared_partition<'a>(isolated: impl Iterator<Item = &'a OrganisationId>) -> Option<SmolStr> {
    let mut hasher = blake3::Hasher::new();
    for id in isolated {
        // No id contains a zero byte.
        hasher.update(id.as_str().as_bytes()).update(&[0]);
    }
    let digest = (hasher.count() > 0).then(|| hasher.finalize().to_hex())?;
    Some(format_smolstr!("{SHARED_PARTITION_PREFIX}{}", &digest[..PARTITION_DIGITS]))
}

fn check_route(route: &Route) -> Result<(), InvalidConfiguration> {
    let fail = |problem| Err(InvalidConfiguration { problem });
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = &route.prefix;
        return fail(format!(
            "prefix {prefix:?} of route {} must begin and end with a slash",
            route.id
        ));
    }
    if route.services.iter().all(|service| service.weight == 0) {
        return fail(format!("route {} has no service with a weight above zero", route.id));
    }
    Ok(())
}

fn index_keys(
    organisations: &SortedMap<OrganisationId, Organisation>,
) -> Result<SortedMap<KeyHash, OrganisationId>, InvalidConfiguration> {
    let owners = organisations
        .iter()
        .flat_map(|(id, organisation)| organisation.keys.iter().map(move |&key| (key, id.clone())));
    let mut pairs: Vec<(KeyHash, OrganisationId)> = owners.collect();
    pairs.sort();
    pairs.dedup();
    if let Some(pair) = pairs.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        let problem = format!("organisations {} and {} have the same key", pair[0].1, pair[1].1);
        return Err(InvalidConfiguration { problem });
    }
    Ok(pairs.into_iter().collect())
}
