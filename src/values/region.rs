use super::*;

text::given_name! {
  /// The name of a region: data halls that share a site.
  Region, "region"
}
