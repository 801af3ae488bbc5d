//! `yuccapass`, the operators' tool.

fn main() {}
