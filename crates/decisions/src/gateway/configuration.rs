//! What operators have decided, as one document with a revision.

use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::Snafu;
use yuccapass_types::{
    Bytes, KeyHash, OrganisationId, RegionId, Revision, ServiceId, SortedMap, Tokens,
    TokensPerSecond, ZoneId,
};

use super::route::{Priority, Route};

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_header_bytes: Bytes,
    /// Largest body of a request.
    pub max_body_bytes: Bytes,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout_ms: u64,
    /// Longest time between two requests of a connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// The limits before a configuration is known: 16 KiB, 4 MiB, 3 s and 15 s.
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
    /// Tokens that it can keep.
    pub capacity: Tokens,
    /// How fast its link carries parts inside its zone.
    pub link_rate: TokensPerSecond,
    /// Calls for changes that it answers at the same time, from all nodes together.
    pub max_calls: u32,
}

/// A replicated service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Requests a second that an endpoint bears while it is cold; zero if it has no cold phase.
    pub cold_requests_per_s: f64,
    /// The store that this is, if it is one and keeps everything until it is told to free it.
    pub store: Option<PartStore>,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Rank of its requests, which goes before that of the route.
    pub priority: Option<Priority>,
    /// Whether it shares no cached part of a prompt with others.
    pub is_isolated: bool,
    /// The regions in which its requests may be served; all if empty. Sorted.
    pub allowed_regions: Vec<RegionId>,
}

/// What is known of the key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict<'a> {
    /// Requests need no key.
    NotRequired,
    /// The key belongs to an organisation.
    Known(&'a OrganisationId, &'a Organisation),
    /// The key is missing or belongs to nobody.
    Unknown,
}

/// Reports a configuration that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct InvalidConfiguration {
    problem: String,
}

/// What operators have decided.
#[derive(Debug, Clone)]
pub struct Configuration {
    revision: Revision,
    routes: SortedMap<SmolStr, Vec<Route>>,
    services: SortedMap<ServiceId, Service>,
    organisations: SortedMap<OrganisationId, Organisation>,
    keys: SortedMap<KeyHash, OrganisationId>,
    limits: CallerLimits,
}

impl Configuration {
    /// Checks and indexes a configuration.
    ///
    /// # Errors
    ///
    /// Fails if a route names no service, a prefix does not begin and end with a slash, or two
    /// organisations have the same key.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: SortedMap<ServiceId, Service>,
        organisations: SortedMap<OrganisationId, Organisation>,
        limits: CallerLimits,
    ) -> Result<Self, InvalidConfiguration> {
        let mut by_host: SortedMap<SmolStr, Vec<Route>> = SortedMap::new();
        for route in routes {
            check_route(&route)?;
            by_host.get_or_insert_with(route.host.clone(), Vec::new).push(route);
        }
        // The longest prefix that begins a path is then the first one found.
        by_host
            .values_mut()
            .for_each(|routes| routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len())));
        let keys = index_keys(&organisations)?;
        Ok(Self { revision, routes: by_host, services, organisations, keys, limits })
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the stores of prompt parts.
    pub fn stores(&self) -> impl Iterator<Item = (&ServiceId, &PartStore)> {
        self.services.iter().filter_map(|(id, service)| Some((id, service.store.as_ref()?)))
    }

    /// Returns the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = SmolStr::new(host.to_ascii_lowercase());
        self.routes.get(&host)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns whose key a request carries.
    pub fn verify_key(&self, route: &Route, key: Option<KeyHash>) -> KeyVerdict<'_> {
        if route.is_public || self.organisations.is_empty() {
            return KeyVerdict::NotRequired;
        }
        let found = key
            .and_then(|key| self.keys.get(&key))
            .and_then(|id| Some((id, self.organisations.get(id)?)));
        match found {
            Some((id, organisation)) => KeyVerdict::Known(id, organisation),
            None => KeyVerdict::Unknown,
        }
    }
}

fn check_route(route: &Route) -> Result<(), InvalidConfiguration> {
    let fail = |problem| Err(InvalidConfiguration { problem });
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = &route.prefix;
        return fail(format!("the prefix {prefix:?} of route {} is not in slashes", route.id));
    }
    if route.services.iter().all(|service| service.weight == 0) {
        return fail(format!("route {} has no service with a weight", route.id));
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
        let problem = format!("{} and {} have the same key", pair[0].1, pair[1].1);
        return Err(InvalidConfiguration { problem });
    }
    Ok(pairs.into_iter().collect())
}

/// The newest configuration that this process has seen.
///
/// A read may be older than what is in force, for example from a service that lags, so a
/// configuration is never replaced by one with a smaller revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHolder {
    current: Option<std::sync::Arc<Configuration>>,
}

impl ConfigurationHolder {
    /// Takes a configuration if it is newer; returns whether it was taken.
    pub fn offer(&mut self, configuration: Configuration) -> bool {
        let known = self.current.as_ref().map(|current| current.revision);
        let is_newer = known.is_none_or(|known| known < configuration.revision);
        if is_newer {
            self.current = Some(std::sync::Arc::new(configuration));
        }
        is_newer
    }

    /// Returns the configuration, if one is known.
    pub fn current(&self) -> Option<&std::sync::Arc<Configuration>> {
        self.current.as_ref()
    }
}
