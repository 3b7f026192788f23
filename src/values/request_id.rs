use super::*;

text::given_name! {
  /// The id of a request, the same on its whole way through the mesh.
  RequestId, "request id"
}
