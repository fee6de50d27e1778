//! What a connection that is opened to an endpoint says of it.

/// Outcome of a connection that is opened to see whether an endpoint accepts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectAnswer {
    /// It was accepted.
    Accepted,
    /// It was refused: no process listens at the address.
    Refused,
    /// It was neither in time, which says nothing of the endpoint's process.
    Unanswered,
}
