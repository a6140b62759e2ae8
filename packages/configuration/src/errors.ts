/**
 * Errors of the configuration layer.
 */

import type * as model from "@hemlockwalk/model";

/** The platform did not give a usable answer. */
export interface PlatformError {
  readonly kind: "unreachable" | "refused" | "over_rate" | "malformed" | "absent";
  readonly detail: string;
}

/** A release note was refused whole. */
export interface NoteRefusal {
  readonly kind: "invalid" | "out_of_order" | "conflicting";
  readonly diagnostics: readonly model.Diagnostic[];
}

/** Another VM did not give a usable answer. */
export interface RelayError {
  readonly kind: "unreachable" | "malformed";
  readonly detail: string;
}
