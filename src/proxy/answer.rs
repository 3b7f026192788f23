use super::*;

/// What a try came to: an answer of the backend server, or none.
pub type Answer = std::result::Result<Response<AnyBody>, AttemptOutcome>;
