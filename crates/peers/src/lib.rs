//! The interface between nodes: messages and connections.
