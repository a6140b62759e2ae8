/**
 * Constructors of branded identifiers for values that have been checked elsewhere.
 */

import * as crypto from "node:crypto";
import type * as types from "./types.ts";

export function createVmId(value: string): types.VmId {
  return value as types.VmId;
}

/** A new random incarnation, for the start of a process. */
export function createIncarnation(): types.Incarnation {
  return crypto.randomUUID() as types.Incarnation;
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

/** The digest of a release note's exact text. */
export function createNoteDigest(text: string): types.NoteDigest {
  return crypto.createHash("sha256").update(text).digest("hex") as types.NoteDigest;
}

export function createNoteNumber(value: number): types.NoteNumber {
  return value as types.NoteNumber;
}
