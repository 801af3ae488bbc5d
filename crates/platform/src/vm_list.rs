//! The [`VmList`] trait, through which the VM list is read, and its implementation over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_with::{VecSkipError, serde_as};
use yuccapass_types::{Clock, Deadline, ZoneId};

use crate::error::PlatformError;
use crate::ids::VmId;
use crate::transport::{PlatformTransportConfig, Transport};

/// Whether a VM is about to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped and takes no new work.
    Leaving,
}

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub id: VmId,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is about to be stopped.
    pub state: VmState,
}

/// The platform's VMs; the list may be out of date. VMs that cannot be decoded are left out.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The VMs.
    #[serde_as(deserialize_as = "VecSkipError<_>")]
    pub vms: Vec<Vm>,
}

/// The platform's list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if no platform address answers in time.
    async fn list(&self, deadline: Deadline) -> Result<VmListing, PlatformError>;
}

/// The VM list behind one or more HTTP addresses.
pub struct HttpVmList {
    transport: Transport,
}

impl HttpVmList {
    /// Creates a client without opening a connection. Without an address every call fails.
    pub fn new(config: &PlatformTransportConfig, clock: Arc<dyn Clock>) -> Self {
        Self { transport: Transport::new(config, clock) }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self, deadline: Deadline) -> Result<VmListing, PlatformError> {
        self.transport.get("/vms", deadline).await
    }
}
