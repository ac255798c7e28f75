//! A request that has arrived, with the way to answer it.

use bytes::Bytes;
use hyper::http::request::Parts;

use crate::front::answer_parts::PartOutput;

/// A request whose body has arrived.
pub(crate) struct FrontRequest {
    pub(crate) body: Bytes,
    pub(crate) head: Parts,
    pub(crate) output: PartOutput,
}
