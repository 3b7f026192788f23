use super::*;

text::name! {
  /// The id that follows one request through the mesh.
  RequestId, "request id"
}
