//! The interface that operators use: the command language and its HTTP binding.
