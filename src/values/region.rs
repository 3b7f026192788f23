use super::*;

text::name! {
  /// A region: data halls that share a site.
  Region, "region"
}
