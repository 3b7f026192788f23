//! Tests of the configuration.
