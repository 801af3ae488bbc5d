//! The interface to store VMs, which keep exported KV cache blocks.
