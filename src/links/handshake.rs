//! The three messages that open a link, and the proofs in them.

use super::*;

/// From the side that was called: what the caller must answer to.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Challenge {
  pub(super) nonce: u128,
  pub(super) protocol: u32,
}

/// From the caller: who it is, with the proof that it knows the key.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Hello {
  pub(super) box_id: BoxId,
  pub(super) nonce: u128,
  pub(super) proof: Digest,
  pub(super) protocol: u32,
}

/// From the side that was called: who it is, with its proof.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Confirmation {
  pub(super) box_id: BoxId,
  pub(super) proof: Digest,
}

/// What both sides of one link agree on.
pub(super) struct Agreement<'a> {
  pub(super) called_nonce: u128,
  pub(super) caller: &'a BoxId,
  pub(super) caller_nonce: u128,
  pub(super) key: &'a FleetKey,
}

impl Agreement<'_> {
  /// A key of this link alone, for one purpose.
  pub(super) fn derive(&self, purpose: &str) -> [u8; 32] {
    let context = format!(
      "ferryyoke link {PROTOCOL} {purpose} {} {} {}",
      self.caller, self.caller_nonce, self.called_nonce
    );
    self.key.derive(context.as_bytes())
  }

  /// The proof of the side `box_id` speaking as `role`.
  pub(super) fn proof(&self, role: &str, box_id: &BoxId) -> Digest {
    let key = self.derive(role);
    Digest::of(&[&key[..], box_id.as_str().as_bytes()].concat())
  }

  /// Whether a proof holds, compared in constant time.
  pub(super) fn check(&self, role: &str, box_id: &BoxId, proof: &Digest) -> Result {
    let expected = self.proof(role, box_id);
    if bool::from(subtle::ConstantTimeEq::ct_eq(expected.as_bytes(), proof.as_bytes())) {
      return Ok(());
    }
    Err(Error::Untrusted)
  }
}
