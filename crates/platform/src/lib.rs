//! The interface to the platform's key-value service and VM list.
