use super::*;

/// Result of a try: the answer of the backend server, or why there is none.
pub type AttemptResult = std::result::Result<Response<AnyBody>, AttemptOutcome>;
