use super::*;

/// What a try came to: an answer of the backend server, or none.
pub type AttemptResult = std::result::Result<Response<AnyBody>, AttemptOutcome>;
