/**
 * Constructors of branded identifiers for values that have been checked elsewhere.
 */

import * as crypto from "node:crypto";
import type * as types from "./types.ts";

export function createVmId(value: string): types.VmId {
  return value as types.VmId;
}

/** Digits of the starting time in an incarnation, in base 36. */
const INCARNATION_TIME_DIGITS = 9;

const INCARNATION_RANDOM_BYTES = 8;

/**
 * A new incarnation, for the start of a process. Of two incarnations of a VM, the one that compares
 * greater as text started later on the wall clock.
 */
export function createIncarnation(): types.Incarnation {
  const time = Date.now().toString(36).padStart(INCARNATION_TIME_DIGITS, "0");
  const random = crypto.randomBytes(INCARNATION_RANDOM_BYTES).toString("hex");
  return `${time}-${random}` as types.Incarnation;
}

export function createDataCentreId(value: string): types.DataCentreId {
  return value as types.DataCentreId;
}

export function createWorkspaceId(value: string): types.WorkspaceId {
  return value as types.WorkspaceId;
}

export function createServiceId(value: string): types.ServiceId {
  return value as types.ServiceId;
}

export function createTargetId(value: string): types.TargetId {
  return value as types.TargetId;
}

export function createRouteId(value: string): types.RouteId {
  return value as types.RouteId;
}

/** The digest under which a caller's key is published. */
export function createKeyDigest(key: string): types.KeyDigest {
  // Each request pays for this; the one-shot form costs a third, but early versions 20 lack it.
  const digest = typeof crypto.hash === "function"
    ? crypto.hash("sha256", key, "hex")
    : crypto.createHash("sha256").update(key).digest("hex");
  return digest as types.KeyDigest;
}

/**
 * The text of a release note without white space behind it.
 *
 * A value that was cut short within that white space would otherwise be another note with the same
 * meaning. Cut anywhere else, the text is no longer JSON.
 */
export function trimNoteText(text: string): string {
  return text.trimEnd();
}

/** The digest of a release note's text, without the white space behind it. */
export function createNoteDigest(text: string): types.NoteDigest {
  return createTextDigest(trimNoteText(text)) as types.NoteDigest;
}

/** SHA-256 of a text, as 64 lower-case hexadecimal digits. */
export function createTextDigest(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

export function createNoteNumber(value: number): types.NoteNumber {
  return value as types.NoteNumber;
}
