/**
 * Errors of the fleet layer.
 */

/** Why a message was not delivered, as far as this VM can determine. */
export interface PeerError {
  readonly kind:
    | "unknown_peer"
    | "not_connected"
    | "queue_full"
    | "timeout"
    | "no_handler"
    | "too_large"
    | "failed";
  readonly detail: string;
}

/** Why the handshake on a connection failed, so that no link was opened. */
export type HandshakeRefusal =
  | "timeout"
  | "malformed"
  | "version"
  | "wrong_peer"
  | "wrong_proof"
  | "stale_incarnation"
  | "no_secret"
  | "closed";

/** Why a link ended. */
export type LinkEnd =
  | "closed_by_peer"
  | "silent"
  | "one_way"
  | "malformed"
  | "idle"
  | "replaced"
  | "stale_incarnation"
  | "stopped";
