//! The daemon of one entry instance.

fn main() {}
