/**
 * Errors of the configuration layer.
 */

import type * as model from "@hemlockwalk/model";

/** A call to the platform failed or returned an unusable response. */
export interface PlatformError {
  readonly kind: "unreachable" | "refused" | "over_rate" | "malformed" | "absent";
  readonly detail: string;
}

/** A release note was refused, and none of its changes were applied. */
export interface NoteRefusal {
  readonly kind: "invalid" | "out_of_order" | "conflicting";
  readonly diagnostics: readonly model.Diagnostic[];
}

/** A call to another VM failed or returned a malformed reply. */
export interface RelayError {
  readonly kind: "unreachable" | "malformed";
  readonly detail: string;
}
