//! The three messages of the handshake that opens a link, and the proofs in them.

use super::*;

/// From the accepting side: the nonce that the dialing side has to use in its proof.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Challenge {
  pub(super) nonce: u128,
  pub(super) protocol: u32,
}

/// From the dialing side: its box, with the proof that it has the fleet key.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Hello {
  pub(super) box_id: BoxId,
  pub(super) nonce: u128,
  pub(super) proof: Digest,
  pub(super) protocol: u32,
}

/// From the accepting side: its box, with the proof that it has the fleet key.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Confirmation {
  pub(super) box_id: BoxId,
  pub(super) proof: Digest,
}

/// What both sides of a link derive its keys and proofs from.
pub(super) struct HandshakeContext<'a> {
  pub(super) acceptor_nonce: u128,
  pub(super) dialer: &'a BoxId,
  pub(super) dialer_nonce: u128,
  pub(super) key: &'a FleetKey,
}

impl HandshakeContext<'_> {
  /// Derives a key that is unique to this link and `purpose`.
  pub(super) fn derive(&self, purpose: &str) -> [u8; 32] {
    let context = format!(
      "ferryyoke link {PROTOCOL} {purpose} {} {} {}",
      self.dialer, self.dialer_nonce, self.acceptor_nonce
    );
    self.key.derive(context.as_bytes())
  }

  /// The proof of `box_id` in its `role`.
  pub(super) fn proof(&self, role: &str, box_id: &BoxId) -> Digest {
    let key = self.derive(role);
    Digest::of(&[&key[..], box_id.as_str().as_bytes()].concat())
  }

  /// Checks a proof in constant time.
  pub(super) fn check(&self, role: &str, box_id: &BoxId, proof: &Digest) -> Result {
    let expected = self.proof(role, box_id);
    if bool::from(subtle::ConstantTimeEq::ct_eq(expected.as_bytes(), proof.as_bytes())) {
      return Ok(());
    }
    Err(Error::Untrusted)
  }
}
