use super::*;

text::name! {
  /// The name of a region: data halls that share a site.
  Region, "region"
}
