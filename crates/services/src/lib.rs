//! The interface to plain services beside the model endpoints.
