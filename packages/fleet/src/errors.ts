/**
 * Errors of the fleet layer.
 */

/** Why a message did not get through, as far as this VM can tell. */
export interface PeerError {
  readonly kind:
    | "unknown_peer"
    | "not_connected"
    | "queue_full"
    | "timeout"
    | "no_handler"
    | "failed";
  readonly detail: string;
}
