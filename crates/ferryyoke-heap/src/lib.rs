//! The one call of the C library that has no safe wrapper; a crate of its own, as the others forbid unsafe code.

/// Gives the free memory of the heap back to the operating system, as far as the C library can. Takes some milliseconds
/// for a heap of some hundred megabytes.
#[cfg(target_env = "gnu")]
pub fn trim() {
  // SAFETY: `malloc_trim` takes no pointers and may be called at any time.
  unsafe { libc::malloc_trim(0) };
}

/// Does nothing: this C library gives free memory back by itself.
#[cfg(not(target_env = "gnu"))]
pub fn trim() {}
