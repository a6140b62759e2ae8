/**
 * Constructors of branded identifiers for values that have been checked elsewhere.
 */

import * as crypto from "node:crypto";
import type * as types from "./types.ts";

export function createVmId(value: string): types.VmId {
  return value as types.VmId;
}

/** Base-36 digits of the start time in an incarnation. */
const INCARNATION_TIME_DIGITS = 9;

const INCARNATION_RANDOM_BYTES = 8;

/**
 * Creates the incarnation of a process at its start. Of two incarnations of a VM, the one that is
 * greater as text started later by the wall clock.
 */
export function createIncarnation(): types.Incarnation {
  const time = Date.now().toString(36).padStart(INCARNATION_TIME_DIGITS, "0");
  const random = crypto.randomBytes(INCARNATION_RANDOM_BYTES).toString("hex");
  return `${time}-${random}` as types.Incarnation;
}

export function createDataCentreId(value: string): types.DataCentreId {
  return value as types.DataCentreId;
}

export function createRegionId(value: string): types.RegionId {
  return value as types.RegionId;
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

/** Returns the digest under which a caller's key is published. */
export function createKeyDigest(key: string): types.KeyDigest {
  // Runs for each request. `crypto.hash` takes a third of the time, but early Node.js 20 lacks it.
  const digest = typeof crypto.hash === "function"
    ? crypto.hash("sha256", key, "hex")
    : crypto.createHash("sha256").update(key).digest("hex");
  return digest as types.KeyDigest;
}

/**
 * Removes the trailing white space of a release note.
 *
 * A text that is truncated within its trailing white space would otherwise be another note with the
 * same meaning. A text that is truncated anywhere else is not valid JSON.
 */
export function trimNoteText(text: string): string {
  return text.trimEnd();
}

/** Returns the digest of a release note's text without trailing white space. */
export function createNoteDigest(text: string): types.NoteDigest {
  return createTextDigest(trimNoteText(text)) as types.NoteDigest;
}

/** Returns the SHA-256 of a text as 64 lower-case hexadecimal digits. */
export function createTextDigest(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

export function createNoteNumber(value: number): types.NoteNumber {
  return value as types.NoteNumber;
}
